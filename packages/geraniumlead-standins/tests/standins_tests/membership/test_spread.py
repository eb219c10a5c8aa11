"""Test how fast and how reliably a change comes into force on all instances."""

from unittest import TestCase

from msgspec.json import encode
from msgspec.structs import replace

from geraniumlead_standins.virtual.small_cluster import (
    ClusterSize,
    SmallCluster,
    default_contract,
)
from standins_tests.membership.builders import SETTLED_MS, RecordedCluster

TWO_DATA_CENTRES = ClusterSize(data_centres=("noord", "zuid"), instances=6)
IN_FORCE_MS = 6_000.0
CONTRACT_KEY = "geraniumlead/contracts/acme"


def watchers_of(recorded: RecordedCluster, data_centre: str) -> list[str]:
    return [
        name
        for name in recorded.run.instances
        if name.startswith(data_centre)
        and recorded.instance(name).status(recorded.run.now_ms).is_watcher
    ]


def rates_in_force(recorded: RecordedCluster) -> set[float]:
    return {
        host.instance.parts.store.view.contracts["acme"].rate_per_s
        for host in recorded.run.instances.values()
        if host.is_alive
    }


def contract_value(rate_per_s: float) -> bytes:
    return encode(replace(default_contract(), rate_per_s=rate_per_s))


def build_settled(seed: int = 1) -> RecordedCluster:
    recorded = RecordedCluster.from_size(TWO_DATA_CENTRES, seed)
    recorded.run_for(SETTLED_MS)
    return recorded


class SpreadTests(TestCase):
    def test_two_instances_of_a_data_centre_watch(self):
        recorded = build_settled()
        self.assertEqual(2, len(watchers_of(recorded, "noord")))

    def test_in_force_in_time_when_all_watchers_are_killed(self):
        """Both watchers of both data centres are killed, and a change is published just then.

        No instance watches the platform any more, and the list still names the killed ones.
        The others detect it by the age of their updates, and each reads the platform at its
        own time.
        """
        for seed in range(5):
            recorded = build_settled(seed)
            for name in watchers_of(recorded, "noord") + watchers_of(recorded, "zuid"):
                recorded.run.kill(name)
            recorded.run.publish({CONTRACT_KEY: contract_value(77.0)})
            recorded.run_for(IN_FORCE_MS)
            self.assertEqual({77.0}, rates_in_force(recorded))

    def test_in_force_in_time_when_a_data_centre_lost_the_platform(self):
        recorded = build_settled()
        noord = {name for name in recorded.run.instances if name.startswith("noord")}
        recorded.run.link.cut_between(noord, {"platform"})
        recorded.run.publish({CONTRACT_KEY: contract_value(77.0)})
        recorded.run_for(IN_FORCE_MS)
        self.assertEqual({77.0}, rates_in_force(recorded))

    def test_in_force_in_time_when_half_of_the_messages_are_lost(self):
        for seed in range(5):
            recorded = build_settled(seed)
            recorded.run.link.loss = 0.5
            for rate in (1.0, 2.0, 3.0, 77.0):
                recorded.run.publish({CONTRACT_KEY: contract_value(rate)})
                recorded.run_for(20.0)
            recorded.run_for(IN_FORCE_MS)
            self.assertEqual({77.0}, rates_in_force(recorded))

    def test_in_force_in_time_in_a_large_data_centre_when_half_of_the_messages_are_lost(self):
        """Requests for documents and their answers are lost too: three in four exchanges fail.

        An instance that asks one peer per heartbeat succeeds with probability 1/4 each time;
        among 60 instances there is always one that fails for six seconds.
        """
        recorded = RecordedCluster.from_size(ClusterSize(instances=60, shards=1))
        recorded.run_for(SETTLED_MS)
        recorded.run.link.loss = 0.5
        for rate in (71.0, 72.0, 73.0):
            recorded.run.publish({CONTRACT_KEY: contract_value(rate)})
            recorded.run_for(IN_FORCE_MS)
            self.assertEqual({rate}, rates_in_force(recorded))

    def test_reads_stay_within_the_budget_while_the_platform_is_down(self):
        recorded = build_settled()
        recorded.run.platform.is_down = True
        recorded.run_for(10_000.0)
        calls: list[str] = []
        recorded.run.on_action = lambda name, action, now_ms: calls.append(type(action).__name__)
        recorded.run_for(20_000.0)
        reads_per_s = calls.count("ReadPlatform") / 20.0
        self.assertGreater(reads_per_s, 0.0)
        self.assertLessEqual(reads_per_s, 2 * 4.0 * 1.25)
        self.assertEqual({recorded.run.platform.revision}, recorded.revisions())

    def test_converges_to_one_configuration_after_a_cut(self):
        recorded = build_settled()
        noord = {name for name in recorded.run.instances if name.startswith("noord")}
        others = {name for name in recorded.run.instances if name not in noord}
        recorded.run.link.cut_between(noord, others | {"platform"})
        recorded.run.publish({CONTRACT_KEY: contract_value(77.0)})
        recorded.run_for(20_000.0)
        self.assertEqual(2, len(rates_in_force(recorded)))
        recorded.run.link.heal()
        recorded.run_for(IN_FORCE_MS)
        self.assertEqual({77.0}, rates_in_force(recorded))

    def test_a_restored_platform_reverts_nothing(self):
        """The platform is restored from a backup, and reuses revisions for new changes.

        Each data centre receives a different value with the same revision. In the end all
        instances keep the same one, report the conflict, and none reverts to the value before.
        """
        recorded = build_settled()
        noord = {name for name in recorded.run.instances if name.startswith("noord")}
        zuid = {name for name in recorded.run.instances if name.startswith("zuid")}
        recorded.run.link.cut_between(zuid, noord | {"platform"})
        recorded.run.publish({CONTRACT_KEY: contract_value(55.0)})
        recorded.run_for(1_000.0)
        recorded.run.link.heal()
        recorded.run.link.cut_between(noord, zuid | {"platform"})
        recorded.run.platform.restore(recorded.run.platform.revision - 1)
        recorded.run.publish({CONTRACT_KEY: contract_value(66.0)})
        recorded.run_for(3_000.0)
        self.assertEqual({55.0, 66.0}, rates_in_force(recorded))
        recorded.run.link.heal()
        recorded.run.link.cut_between(noord, {"platform"})
        recorded.run_for(IN_FORCE_MS)
        self.assertEqual({66.0}, rates_in_force(recorded))
        self.assertIn("configuration_diverged", {report for _, report in recorded.reports})
        self.assertIn("document_conflict", {report for _, report in recorded.reports})


class OperatorsRaceTests(TestCase):
    def test_the_order_of_the_platform_decides_everywhere(self):
        recorded = build_settled()
        recorded.set_data_centre_state("noord", "out")
        recorded.set_data_centre_state("noord", "in")
        recorded.set_data_centre_state("noord", "out")
        recorded.run_for(IN_FORCE_MS)
        states = {
            host.instance.parts.store.view.is_data_centre_in_service("noord")
            for host in recorded.run.instances.values()
        }
        self.assertEqual({False}, states)


class SmallClusterTests(TestCase):
    def test_one_instance_alone_turns_ready(self):
        """An instance is ready only when it may use slots of upstreams not yet known as warm.

        If all instances of a fleet that restarts were ready at once, they would refuse every
        query as cold, while the balancer has other data centres that can serve.
        """
        cluster = SmallCluster.from_size(ClusterSize(instances=1), 1)
        parts = cluster.run.instances["noord-0"].instance.parts
        cluster.run.queue.run_until(100.0)
        self.assertFalse(parts.is_ready)
        cluster.run.queue.run_until(1_000.0)
        self.assertTrue(parts.is_ready)
