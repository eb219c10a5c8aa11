"""Test the checks of answers: each reports violations and accepts unusual valid cases."""

from unittest import TestCase

from geraniumlead_standins.history import History, RecordSeen
from geraniumlead_standins.history.checks import CHECKS
from standins_tests.builders import (
    answer,
    build_served_history,
    event_at,
    publish_index,
    run_shard,
    send,
    start_process,
)


def count(invariant: str, history: History) -> tuple[int, int]:
    result = CHECKS[invariant](history)
    return result.operations, len(result.violations)


class OneSnapshotTests(TestCase):
    def test_records_of_two_versions_are_caught(self):
        mixed = (RecordSeen(0, 1, "t1"), RecordSeen(1, 2, "t1"))
        self.assertEqual((1, 1), count("one snapshot", build_served_history(answer(records=mixed))))

    def test_an_older_whole_version_is_let_through(self):
        history = build_served_history(publish_index(5.0, version=2), answer())
        self.assertEqual((1, 0), count("one snapshot", history))


class TrueCoverageTests(TestCase):
    def test_a_whole_answer_is_let_through(self):
        self.assertEqual((1, 0), count("true coverage", build_served_history(answer())))

    def test_a_true_partial_answer_is_let_through(self):
        partial = answer(shards=(1,), outcome="partial", missing=(0,))
        self.assertEqual((1, 0), count("true coverage", build_served_history(partial)))

    def test_a_reply_that_came_just_before_the_answer_may_be_missing(self):
        reply = event_at(19.0, "a", "reply_arrived", request_id="r1", index_version=1, shard=0)
        partial = answer(shards=(1,), outcome="partial", missing=(0,))
        self.assertEqual((1, 0), count("true coverage", build_served_history(reply, partial)))

    def test_an_early_reply_that_is_called_missing_is_caught(self):
        reply = event_at(15.0, "a", "reply_arrived", request_id="r1", index_version=1, shard=0)
        partial = answer(100.0, shards=(1,), outcome="partial", missing=(0,))
        self.assertEqual((1, 1), count("true coverage", build_served_history(reply, partial)))

    def test_a_shard_hidden_by_a_repartition_is_caught(self):
        hidden = answer(shards=(1,), asked=1)
        _, broken = count("true coverage", build_served_history(hidden))
        self.assertGreater(broken, 0)

    def test_a_shard_that_no_upstream_ran_is_caught(self):
        events = [publish_index(), start_process(), send(), *run_shard(12.0, 0), answer()]
        self.assertEqual((1, 1), count("true coverage", History(events)))

    def test_a_shard_with_too_few_records_is_caught(self):
        more = event_at(13.5, "u0", "ran", token="t1", index_version=1, shard=0, record_count=2)
        events = [publish_index(), start_process(), send(), more, *run_shard(12.0, 1), answer()]
        self.assertEqual((1, 1), count("true coverage", History(events)))


class OwnAnswerTests(TestCase):
    later = event_at(5_000.0, "caller", "end")

    def test_a_late_but_single_own_answer_is_let_through(self):
        history = build_served_history(answer(550.0), self.later)
        self.assertEqual((1, 0), count("own answer", history))

    def test_records_of_another_request_are_caught(self):
        other = answer(records=(RecordSeen(0, 1, "t1"), RecordSeen(1, 1, "t2")))
        self.assertEqual((1, 1), count("own answer", build_served_history(other, self.later)))

    def test_no_answer_is_caught(self):
        self.assertEqual((1, 1), count("own answer", build_served_history(self.later)))

    def test_two_answers_are_caught(self):
        history = build_served_history(answer(), answer(30.0), self.later)
        self.assertEqual((1, 1), count("own answer", history))

    def test_an_answer_lost_with_a_killed_instance_is_let_through(self):
        killed = event_at(15.0, "faults", "process_killed", instance="a", incarnation="i1")
        lost = answer(15.0, shards=(), outcome="lost")
        history = build_served_history(killed, lost, self.later)
        self.assertEqual((1, 0), count("own answer", history))

    def test_an_answer_lost_without_a_fault_is_caught(self):
        lost = answer(15.0, shards=(), outcome="lost")
        self.assertEqual((1, 1), count("own answer", build_served_history(lost, self.later)))


class NotRunTests(TestCase):
    refusal = answer(shards=(), outcome="not_run", reason="rate")

    def test_a_refused_request_that_an_upstream_began_is_caught(self):
        self.assertEqual((1, 1), count("not run", build_served_history(self.refusal)))

    def test_a_run_under_the_systems_own_suffix_is_caught(self):
        begun = run_shard(12.0, 0, request_id="r1.abc")
        history = History([publish_index(), start_process(), send(), *begun, self.refusal])
        self.assertEqual((1, 1), count("not run", history))

    def test_a_booking_that_runs_only_after_the_refusal_is_let_through(self):
        booking = {"idempotent": False, "token": "b1"}
        events = [
            send(10.0, **booking),
            answer(20.0, shards=(), outcome="not_run"),
            send(30.0, "r2", **booking),
            *run_shard(32.0, 0, request_id="r2", token="b1"),
        ]
        self.assertEqual((1, 0), count("not run", History(events)))


class AtMostOnceTests(TestCase):
    booking = {"idempotent": False, "token": "b1"}

    def test_two_runs_over_two_attempts_are_caught(self):
        events = [send(10.0, **self.booking), send(30.0, "r2", instance="b", **self.booking)]
        events += run_shard(12.0, 0, token="b1") + run_shard(32.0, 1, token="b1", request_id="r2")
        self.assertEqual((1, 1), count("at most once", History(events)))

    def test_one_run_with_both_attempts_answered_is_let_through(self):
        events = [send(10.0, **self.booking), send(30.0, "r2", **self.booking)]
        events += run_shard(12.0, 0, token="b1")
        events += [answer(40.0), answer(41.0, request_id="r2")]
        self.assertEqual((1, 0), count("at most once", History(events)))

    def test_an_answer_without_a_run_is_caught(self):
        events = [send(10.0, **self.booking), answer(20.0)]
        self.assertEqual((1, 1), count("at most once", History(events)))

    def test_a_refusal_after_the_answer_is_caught(self):
        events = [send(10.0, **self.booking), *run_shard(12.0, 0, token="b1"), answer(20.0)]
        events += [send(30.0, "r2", **self.booking)]
        events += [answer(40.0, request_id="r2", shards=(), outcome="not_run")]
        self.assertEqual((1, 1), count("at most once", History(events)))
