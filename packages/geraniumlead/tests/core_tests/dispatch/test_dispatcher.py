"""Test which calls get the slots of an upstream."""

from unittest import TestCase

from core_tests.dispatch.builders import (
    RECORDS,
    UPSTREAM,
    build_dispatcher,
    build_subquery,
    build_view,
)
from geraniumlead.dispatch import Dispatcher, DispatchStep, EndCall, StartCall
from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.ownership import OwnerTable
from geraniumlead.upstreams import ConnectionLost, Draining, Shed


def started_ids(steps: list[DispatchStep]) -> list[str]:
    return [step.subquery.call_id for step in steps if isinstance(step, StartCall)]


def submit(dispatcher: Dispatcher, call_id: str, now_ms: float = 1.0, **changes) -> list:
    return dispatcher.submit(build_subquery(call_id, **changes), None, now_ms)


class DispatcherTests(TestCase):
    def test_calls_beyond_the_slots_wait(self):
        dispatcher = build_dispatcher()
        started = [started_ids(submit(dispatcher, f"c{number}")) for number in range(3)]
        self.assertEqual([["c0"], ["c1"], []], started)
        self.assertEqual(["c2"], started_ids(dispatcher.finish("c0", RECORDS, 5.0)))

    def test_call_that_cannot_end_in_time_is_refused_at_once(self):
        """Calls arrive faster than the upstream serves them.

        Each would wait in the queue and start just before its deadline, and none would be
        answered. The coordinator could have called another replica in that time.
        """
        dispatcher = build_dispatcher()
        answers = []
        for number in range(60):
            steps = submit(dispatcher, f"c{number}", remaining_ms=50.0)
            answers += [step.answer for step in steps if isinstance(step, EndCall)]
        self.assertGreater(len(answers), 40)
        self.assertTrue(all(isinstance(answer, Shed) for answer in answers))

    def test_long_jobs_leave_the_last_slot(self):
        """An audit sends many long subqueries to an upstream with two slots.

        Without a reserved slot they occupy both for seconds, and each lookup waits that long.
        """
        dispatcher = build_dispatcher()
        for number in range(4):
            submit(dispatcher, f"long{number}", class_name="audit", priority=5)
        self.assertEqual(["short"], started_ids(submit(dispatcher, "short")))

    def test_owners_together_leave_the_last_slot(self):
        names = rank_by_rendezvous(UPSTREAM, [f"noord-{number}" for number in range(3)])
        started = []
        for name in names:
            dispatcher = build_dispatcher(instance_count=3, instance_id=name)
            started += started_ids(submit(dispatcher, name, class_name="audit"))
        self.assertEqual([names[0]], started)

    def test_queue_of_a_leaving_upstream_ends_as_not_run(self):
        dispatcher = build_dispatcher()
        for number in range(3):
            submit(dispatcher, f"c{number}")
        view = build_view(state="leaving")
        steps = dispatcher.update(view, OwnerTable(view), 1, 2.0)
        self.assertEqual([EndCall(None, "c2", Draining())], steps)
        self.assertEqual([EndCall(None, "c3", Draining())], submit(dispatcher, "c3"))

    def test_upstream_that_sheds_gets_less_and_then_more_again(self):
        dispatcher = build_dispatcher(slots=4)
        for number in range(4):
            submit(dispatcher, f"a{number}")
        dispatcher.finish("a0", Shed(20.0), 2.0)
        for number in range(1, 4):
            dispatcher.finish(f"a{number}", RECORDS, 3.0)
        started = [started_ids(submit(dispatcher, f"b{number}", 4.0)) for number in range(4)]
        self.assertEqual([["b0"], ["b1"], ["b2"], []], started)
        for number in range(4):
            dispatcher.finish(f"b{number}", RECORDS, 8.0)
        for number in range(8):
            submit(dispatcher, f"d{number}", 9.0)
            dispatcher.finish(f"d{number}", RECORDS, 9.0)
        started = [started_ids(submit(dispatcher, f"e{number}", 10.0)) for number in range(4)]
        self.assertEqual([["e0"], ["e1"], ["e2"], ["e3"]], started)

    def test_calls_at_a_crashed_upstream_end_as_lost(self):
        """An upstream crashes, and its connections close a moment before the calls end.

        If the calls then ended as refused by a cold upstream, the query that crashed it would be
        sent to the next one and never be suspected.
        """
        dispatcher = build_dispatcher()
        submit(dispatcher, "c0")
        submit(dispatcher, "c1")
        steps = dispatcher.handle_disconnect(UPSTREAM, 2.0)
        steps += dispatcher.finish("c0", ConnectionLost("reset"), 2.1)
        answers = {step.call_id: step.answer for step in steps if isinstance(step, EndCall)}
        self.assertEqual({"c0", "c1"}, answers.keys())
        self.assertTrue(all(isinstance(answer, ConnectionLost) for answer in answers.values()))

    def test_upstream_that_was_out_of_use_comes_back_unproven(self):
        """An upstream leaves, restarts unnoticed and is listed again while it is cold.

        Its owners sent nothing meanwhile. If they still considered it warm, it would get two
        calls at the same time and be overloaded.
        """
        dispatcher = build_dispatcher()
        for state in ("leaving", "serving"):
            view = build_view(state=state)
            dispatcher.update(view, OwnerTable(view), 1, 10_000.0)
        started = [started_ids(submit(dispatcher, f"c{number}", 10_001.0)) for number in range(2)]
        self.assertEqual([["c0"], []], started)
