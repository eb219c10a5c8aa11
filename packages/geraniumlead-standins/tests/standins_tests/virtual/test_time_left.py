"""Test that upstreams of the query interface get no more time than their callers have left."""

from unittest import TestCase

from geraniumlead.actions import CallUpstream, SendToPeer
from geraniumlead.events import QueryArrived
from geraniumlead.instance.message_times import NORMAL_WAY_MS
from geraniumlead.peer_messages import SubqueryBatch
from geraniumlead.requests import CallerRequest
from geraniumlead.settings import TimingSettings
from geraniumlead_standins.virtual.small_cluster import ClusterSize, SmallCluster

START_MS = 2_000.0
DEADLINE_MS = 200.0


class TimeLeftTests(TestCase):
    def ask(self, held_ms: float) -> list[float]:
        """Query an instance whose messages to the other one are held up.

        Return how much too late each call to an upstream could end.
        """
        run = SmallCluster.from_size(ClusterSize(), seed=1).run
        run.queue.run_until(START_MS)
        first, second = run.instances
        run.link.set_delay(first, second, held_ms)
        run.link.jitter = 0.0
        caller_end_ms = run.now_ms + DEADLINE_MS
        excess_ms: list[float] = []
        batches: list[SubqueryBatch] = []

        def record(name: str, action: object, now_ms: float) -> None:
            match action:
                case CallUpstream(timeout_ms=timeout_ms):
                    excess_ms.append(now_ms + timeout_ms - caller_end_ms)
                case SendToPeer(message=SubqueryBatch() as batch):
                    batches.append(batch)

        run.on_action = record
        request = CallerRequest(
            "r1", "acme", "lookup", b"{}", run.now_ms, caller_end_ms, least_coverage=1.0
        )
        run.deliver(first, QueryArrived(request))
        run.queue.run_until(START_MS + 2.0 * held_ms + DEADLINE_MS)
        self.assertNotEqual([], batches)
        return excess_ms

    def test_subqueries_that_were_held_up_between_instances_get_what_is_left(self):
        """Guards against an owner that calls upstreams for callers who have long left.

        A cut holds the messages of the coordinating instance back, its cancellations as well.
        """
        for held_ms in (1_500.0, 3_000.0):
            with self.subTest(held_ms=held_ms):
                self.assertEqual([], self.ask(held_ms))

    def test_subqueries_that_come_late_but_in_time_are_called_with_less(self):
        excess_ms = self.ask(120.0)
        self.assertNotEqual([], excess_ms)
        self.assertLessEqual(max(excess_ms), NORMAL_WAY_MS + TimingSettings().batch_tick_ms)
