"""Measure by the time of day how long a message was on its way."""

import time

from msgspec.structs import replace

from geraniumlead.peering import DelegatedRequest, PeeringMessage

MILLISECONDS_PER_S = 1000.0


def stamp_message(message: PeeringMessage) -> PeeringMessage:
    """Return a message that leaves now, with the time of day if its receiver needs it."""
    match message:
        case DelegatedRequest(end_ms=None):
            return replace(message, sent_unix_ms=time.time() * MILLISECONDS_PER_S)
    return message


def measure_way_ms(message: PeeringMessage) -> float | None:
    """Return how long ago a stamped message left; None for any other.

    The times of day of two machines may differ, so the result may be negative.
    """
    match message:
        case DelegatedRequest(sent_unix_ms=float(sent_unix_ms)):
            return time.time() * MILLISECONDS_PER_S - sent_unix_ms
    return None
