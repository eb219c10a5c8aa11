"""Test messages from senders that are not in the published instance list."""

from unittest import TestCase

from geraniumlead.events import PeerMessageReceived
from geraniumlead.peer_messages import SubqueryBatch
from geraniumlead.upstreams import Subquery
from geraniumlead_standins.virtual.small_cluster import ClusterSize
from standins_tests.membership.builders import SETTLED_MS, RecordedCluster


class UnlistedSenderTests(TestCase):
    def test_an_unlisted_sender_gets_no_work_done(self):
        """An instance was replaced, and its old process, isolated until now, sends subqueries.

        The results could not be sent back, so the work of upstreams would be wasted.
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
