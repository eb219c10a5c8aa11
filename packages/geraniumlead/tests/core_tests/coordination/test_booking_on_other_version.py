"""Test bookings that ran on an unexpected index version or on only some of the shards."""

from unittest import TestCase

from geraniumlead.events import QueryArrived, TicketRequested
from geraniumlead.requests import CallerRequest, Unknown
from geraniumlead_standins.virtual.small_cluster import ClusterSize, SmallCluster


class BookingOnOtherVersionTests(TestCase):
    """The index is repartitioned while a booking is in transit, and the upstream answers from
    the version that it now holds. An answer with records means that the booking ran. If the
    coordinator treats it as a refusal, the booking runs again on the next replica: the caller
    sees one answer, and a member is charged twice. The outcome must be Unknown."""

    def test_it_is_not_sent_to_a_second_replica(self):
        cluster = SmallCluster.from_size(ClusterSize(shards=1, replicas=2), seed=1)
        run, outcomes = cluster.run, []
        run.on_answer = lambda name, action, now_ms: outcomes.append(action)
        run.queue.run_until(5_000.0)
        for upstream in run.upstreams.values():
            upstream.holds, upstream.answers_newest = {2: {0}}, True
        run.deliver("noord-0", TicketRequested("t", "acme", "booking"))
        ticket = outcomes.pop().ticket
        request = CallerRequest(
            "r", "acme", "booking", b"{}", 5_000.0, 5_500.0, 1.0, key="k", ticket=ticket
        )
        run.deliver("noord-0", QueryArrived(request))
        run.queue.run_until(6_000.0)
        self.assertEqual(1, sum(upstream.received for upstream in run.upstreams.values()))
        self.assertIsInstance(outcomes[0].outcome, Unknown)


class BookingOfManyShardsTests(TestCase):
    """A booking without a key goes to every shard; one upstream sheds it and the other runs it.
    If the caller is told "not run" because no call is open, it sends the booking again, and
    the shard that ran it runs it twice."""

    def test_a_part_that_ran_is_not_called_not_run(self):
        cluster = SmallCluster.from_size(ClusterSize(instances=1, shards=2, replicas=1), seed=1)
        run, outcomes = cluster.run, []
        run.on_answer = lambda name, action, now_ms: outcomes.append(action)
        run.queue.run_until(5_000.0)
        next(iter(run.upstreams.values())).is_draining = True
        run.deliver("noord-0", TicketRequested("t", "acme", "booking"))
        ticket = outcomes.pop().ticket
        request = CallerRequest("r", "acme", "booking", b"{}", 5_000.0, 5_500.0, 1.0, ticket=ticket)
        run.deliver("noord-0", QueryArrived(request))
        run.queue.run_until(6_000.0)
        self.assertIsInstance(outcomes[0].outcome, Unknown)
