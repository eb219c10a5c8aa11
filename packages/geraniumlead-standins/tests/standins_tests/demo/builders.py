"""Helpers for the tests of the demo."""

from geraniumlead_standins.load.sent_request import SentRequest


def build_sent(name: str = "booking-0", **changes) -> SentRequest:
    """Return a booking whose caller received a whole answer."""
    values = {
        "name": name,
        "class_name": "booking",
        "sent_ns": 0,
        "is_booking": True,
        "outcome": "whole",
        "outcomes": ["whole"],
        "asked_shards": 1,
        "answered_shards": 1,
    }
    return SentRequest(**(values | changes))


def build_ran(name: str = "booking-0", **changes) -> dict:
    """Return an upstream's history line about a booking that ran."""
    line = {"event": "ran", "who": "noord-booking-0-1", "at_ns": 0, "token": name}
    return line | changes


def build_received(**changes) -> dict:
    """Return an upstream's history line about a received subquery."""
    line = {
        "event": "received",
        "who": "zuid-booking-0-1",
        "at_ns": 0,
        "request_id": "booking-0.abc",
        "shard": 0,
    }
    return line | changes
