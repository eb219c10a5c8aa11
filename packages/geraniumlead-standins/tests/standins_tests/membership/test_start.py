"""Test instances that start while the platform is stale or down."""

from unittest import TestCase

from geraniumlead.events import TicketRequested
from geraniumlead.requests import Answered, RefusalReason
from geraniumlead_standins.virtual.small_cluster import ClusterSize
from standins_tests.membership.builders import SETTLED_MS, RecordedCluster

TWO_DATA_CENTRES = ClusterSize(data_centres=("noord", "zuid"), instances=3)


class StartTests(TestCase):
    def test_a_new_instance_takes_the_newer_configuration_of_its_peers(self):
        """The platform serves an old copy while an instance is replaced.

        The old copy says that the other data centre is in, but the peers have the newer
        state. The new instance must not become ready, nor call that data centre, because of
        the old copy.
        """
        recorded = RecordedCluster.from_size(TWO_DATA_CENTRES)
        recorded.run_for(SETTLED_MS)
        stale_revision = recorded.run.platform.revision
        recorded.set_data_centre_state("zuid", "out")
        recorded.run_for(1_000.0)
        recorded.run.platform.stale_at_revision = stale_revision
        recorded.run.kill("noord-0")
        recorded.run.start_instance(recorded.cluster.settings["noord-0"])
        ready_revisions = []
        for _ in range(40):
            recorded.run_for(50.0)
            parts = recorded.instance("noord-0").parts
            if parts.is_ready:
                ready_revisions.append(parts.store.revision)
        self.assertEqual({recorded.run.platform.revision}, set(ready_revisions))

    def test_a_new_instance_turns_ready_although_its_peers_are_dead(self):
        """All instances were killed and one restarted; the list still names the dead ones."""
        recorded = RecordedCluster.from_size(TWO_DATA_CENTRES)
        recorded.run_for(SETTLED_MS)
        for name in list(recorded.run.instances):
            recorded.run.kill(name)
        recorded.run.start_instance(recorded.cluster.settings["noord-0"])
        recorded.run_for(1_500.0)
        self.assertTrue(recorded.instance("noord-0").parts.is_ready)

    def test_never_serves_without_configuration(self):
        """While the platform is down, a new instance refuses requests as not run.

        It becomes ready once the platform is back.
        """
        recorded = RecordedCluster.from_size(TWO_DATA_CENTRES)
        recorded.run.platform.is_down = True
        recorded.run.kill("noord-0")
        recorded.run.start_instance(recorded.cluster.settings["noord-0"])
        recorded.run_for(5_000.0)
        self.assertFalse(recorded.instance("noord-0").parts.is_ready)
        recorded.send_lookup("noord-0", "r1")
        self.assertEqual(RefusalReason.OUT_OF_SERVICE, recorded.outcomes["r1"].reason)
        tickets = []
        recorded.run.on_answer = lambda name, action, now_ms: tickets.append(action)
        recorded.run.deliver("noord-0", TicketRequested("t1", "acme", "booking"))
        self.assertEqual(RefusalReason.OUT_OF_SERVICE, tickets[0].refusal.reason)
        recorded.run.platform.is_down = False
        recorded.run_for(3_000.0)
        recorded.send_lookup("noord-0", "r2")
        recorded.run_for(1_000.0)
        self.assertIsInstance(recorded.outcomes["r2"], Answered)
