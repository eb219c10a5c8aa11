"""Test the order in which waiting calls are served."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from core_tests.dispatch.builders import build_call
from geraniumlead.dispatch.waiting_queue import FLOOR_INTERVAL, WaitingQueue


class WaitingQueueTests(TestCase):
    def test_high_classes_go_first_and_the_lowest_gets_its_floor(self):
        queue = WaitingQueue()
        for number in range(3 * FLOOR_INTERVAL):
            queue.push(build_call(f"high{number}", priority=0))
            queue.push(build_call(f"low{number}", priority=5))
        served = [queue.pop(allow_long=True) for _ in range(2 * FLOOR_INTERVAL)]
        lows = [call for call in served if call.subquery.priority == 5]
        self.assertEqual(2, len(lows))
        self.assertEqual("low0", lows[0].subquery.call_id)

    def test_long_jobs_are_passed_over(self):
        queue = WaitingQueue()
        queue.push(build_call("long", priority=0, long_running=True))
        self.assertIsNone(queue.pop(allow_long=False))
        queue.push(build_call("short", priority=3))
        self.assertEqual("short", queue.pop(allow_long=False).subquery.call_id)
        self.assertEqual("long", queue.pop(allow_long=True).subquery.call_id)

    def test_full_queue_gives_up_the_latest_of_the_lowest(self):
        queue = WaitingQueue()
        queue.push(build_call("low1", priority=5))
        queue.push(build_call("low2", priority=5))
        self.assertIsNone(queue.pop_worst(better_than=5))
        self.assertEqual("low2", queue.pop_worst(better_than=0).subquery.call_id)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["push", "push", "pop", "remove"]),
                st.integers(0, 3),
                st.booleans(),
            )
        )
    )
    def test_every_call_leaves_exactly_once(self, steps):
        queue, inside, left = WaitingQueue(), {}, []
        for number, (kind, priority, flag) in enumerate(steps):
            match kind:
                case "push":
                    call = build_call(f"c{number}", priority, long_running=flag)
                    inside[call.subquery.call_id] = call
                    queue.push(call)
                case "pop":
                    call = queue.pop(allow_long=flag)
                    if call is not None:
                        left.append(inside.pop(call.subquery.call_id))
                case "remove" if inside:
                    queue.remove(inside.pop(min(inside)))
            self.assertEqual(len(inside), len(queue))
        self.assertEqual(set(inside), {call.subquery.call_id for call in queue.clear()})
