"""Test messages of senders that the published list does not name."""

from unittest import TestCase

from geraniumlead.events import PeerMessageReceived
from geraniumlead.peer_messages import SubqueryBatch
from geraniumlead.upstreams import Subquery
from geraniumlead_standins.virtual.small_cluster import ClusterSize
from standins_tests.membership.builders import SETTLED_MS, RecordedCluster


class StrangerTests(TestCase):
    def test_an_unlisted_sender_gets_no_work_done(self):
        """An instance was replaced, and its old process, cut off till now, sends subqueries.

        Its results could not be sent back, so upstreams would work for nobody.
        """
        recorded = RecordedCluster.from_size(ClusterSize())
        recorded.run_for(SETTLED_MS)
        subquery = Subquery("x.1", "r1", "ledger-noord-0", "ledger", 1, 0, 500.0, b"{}")
        message = SubqueryBatch((subquery,))
        recorded.run.deliver("noord-0", PeerMessageReceived("noord-9", message))
        recorded.run_for(100.0)
        self.assertEqual([], recorded.calls)
        recorded.run.deliver("noord-0", PeerMessageReceived("noord-1", message))
        recorded.run_for(100.0)
        self.assertEqual(1, len(recorded.calls))
