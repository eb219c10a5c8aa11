"""Test the checks of cold starts, withdrawals, planned stops and configuration."""

from unittest import TestCase

from geraniumlead_standins.history import History, HistoryEvent
from geraniumlead_standins.history.checks import CHECKS
from standins_tests.builders import (
    answer,
    event_at,
    publish_data_centre,
    publish_upstreams,
    send,
    start_process,
)


def count_broken(invariant: str, *events: HistoryEvent) -> int:
    result = CHECKS[invariant](History(events))
    if not result.operations:
        raise AssertionError("the check had nothing to check")
    return len(result.violations)


def call(time_ms: float, upstream_id: str = "u0", call_id: str = "c1") -> HistoryEvent:
    return event_at(time_ms, upstream_id, "received", call_id=call_id, instance="a")


class ColdLoadTests(TestCase):
    begin = (start_process(), event_at(0.0, "u0", "turned_cold", allowance=1))
    seen = (
        call(10.0, call_id="c0"),
        event_at(12.0, "u0", "ended", call_id="c0", instance="a"),
    )

    def test_two_calls_at_once_are_caught(self):
        calls = (call(2_000.0), call(2_001.0, call_id="c2"))
        self.assertEqual(1, count_broken("cold load", *self.begin, *self.seen, *calls))

    def test_one_after_the_other_is_let_through(self):
        ended = event_at(2_001.0, "u0", "ended", call_id="c1", instance="a")
        calls = (call(2_000.0), ended, call(2_002.0, call_id="c2"))
        self.assertEqual(0, count_broken("cold load", *self.begin, *self.seen, *calls))

    def test_a_burst_before_anyone_could_know_is_let_through(self):
        calls = (call(2_000.0), call(2_001.0, call_id="c2"))
        self.assertEqual(0, count_broken("cold load", *self.begin, *calls))

    def test_a_burst_on_an_upstream_that_came_back_cold_is_caught(self):
        back = event_at(0.0, "u0", "turned_cold", allowance=1, reason="while away")
        calls = (call(2_000.0), call(2_001.0, call_id="c2"))
        self.assertEqual(1, count_broken("cold load", start_process(), back, *calls))

    def test_a_warm_upstream_takes_more(self):
        warm = event_at(1_500.0, "u0", "turned_warm")
        calls = (call(1_400.0), call(2_000.0, call_id="c2"), call(2_001.0, call_id="c3"))
        self.assertEqual(0, count_broken("cold load", *self.begin, *self.seen, warm, *calls))


class WithdrawalTests(TestCase):
    begin = (start_process(), publish_upstreams())

    def test_a_call_long_after_the_data_centre_went_out_is_caught(self):
        out = publish_data_centre(100.0, "out")
        self.assertEqual(1, count_broken("data centre out", *self.begin, out, call(6_000.0)))

    def test_a_call_within_the_allowance_or_after_the_return_is_let_through(self):
        out, back = publish_data_centre(100.0, "out"), publish_data_centre(9_000.0, "in", 21)
        calls = (call(5_000.0), call(9_001.0))
        self.assertEqual(0, count_broken("data centre out", *self.begin, out, back, *calls))

    def test_a_call_by_an_isolated_instance_is_let_through(self):
        cut = event_at(50.0, "faults", "cut", pairs=(("a", "platform"), ("platform", "a")))
        out = publish_data_centre(100.0, "out")
        self.assertEqual(0, count_broken("data centre out", *self.begin, cut, out, call(9_000.0)))

    def test_an_instance_that_is_connected_through_a_peer_has_to_know(self):
        cut = event_at(50.0, "faults", "cut", pairs=(("a", "platform"),))
        events = (start_process(0.0, "b"), cut, publish_data_centre(100.0, "out"))
        self.assertEqual(1, count_broken("data centre out", *self.begin, *events, call(9_000.0)))

    def test_a_call_long_after_an_upstream_left_is_caught(self):
        leaving = publish_upstreams(100.0, {"u0": "leaving", "u1": "serving"}, 11)
        self.assertEqual(1, count_broken("leaving upstream", *self.begin, leaving, call(6_000.0)))

    def test_a_call_to_an_upstream_that_vanished_from_the_list_is_caught(self):
        shorter = publish_upstreams(100.0, {"u1": "serving"}, 11)
        self.assertEqual(1, count_broken("leaving upstream", *self.begin, shorter, call(6_000.0)))

    def test_a_call_to_the_one_that_stays_is_let_through(self):
        leaving = publish_upstreams(100.0, {"u0": "leaving", "u1": "serving"}, 11)
        stays = call(6_000.0, "u1")
        self.assertEqual(0, count_broken("leaving upstream", *self.begin, leaving, stays))


class GracefulStopTests(TestCase):
    asked = event_at(5.0, "faults", "stop_asked", instance="a")
    stopped = event_at(2_000.0, "faults", "process_stopped", instance="a", incarnation="i1")
    lost = answer(2_000.0, shards=(), outcome="lost")

    def test_a_request_that_the_stop_cut_off_is_caught(self):
        events = (self.asked, send(1_000.0), self.stopped, self.lost)
        self.assertEqual(1, count_broken("graceful stop", *events))

    def test_a_request_to_a_process_that_was_long_gone_is_let_through(self):
        events = (self.asked, self.stopped, send(2_500.0), answer(2_501.0, outcome="lost"))
        self.assertEqual(0, count_broken("graceful stop", *events))

    def test_a_kill_during_the_stop_is_no_planned_stop(self):
        killed = event_at(1_500.0, "faults", "process_killed", instance="a", incarnation="i1")
        events = (self.asked, send(1_000.0), killed, self.lost)
        result = CHECKS["graceful stop"](History(events))
        self.assertEqual((0, []), (result.operations, result.violations))


class ConfigurationTests(TestCase):
    key = "geraniumlead/data-centres/noord"

    def in_force(self, time_ms: float, revision: int) -> HistoryEvent:
        revisions = {self.key: revision}
        return event_at(time_ms, "a", "in_force", incarnation="i1", revisions=revisions)

    def check(self, *events: HistoryEvent) -> int:
        end = event_at(60_000.0, "caller", "end")
        published = publish_data_centre(100.0, "out", revision=2)
        first = self.in_force(1.0, 1)
        return count_broken("configuration", start_process(), first, published, *events, end)

    def test_a_document_that_comes_into_force_in_time_is_let_through(self):
        self.assertEqual(0, self.check(self.in_force(6_000.0, 2)))

    def test_a_document_that_comes_late_is_caught(self):
        self.assertEqual(1, self.check(self.in_force(6_500.0, 2)))

    def test_a_document_that_goes_back_is_caught(self):
        self.assertEqual(1, self.check(self.in_force(500.0, 2), self.in_force(600.0, 1)))

    def test_time_spent_frozen_does_not_count(self):
        frozen = event_at(200.0, "faults", "frozen", instance="a")
        thawed = event_at(30_000.0, "faults", "thawed", instance="a")
        self.assertEqual(0, self.check(frozen, thawed, self.in_force(33_000.0, 2)))
