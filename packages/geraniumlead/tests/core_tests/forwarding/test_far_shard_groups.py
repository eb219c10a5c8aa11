"""Test queries over many shards, each of which is in two of three regions only."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    REGIONS,
    build_configuration,
    build_fan_out,
    build_record,
    build_updates,
)
from core_tests.forwarding.fleet_harness import FleetHarness, address_of
from geraniumlead.forwarding.aggregator_chooser import MAX_AGGREGATORS
from geraniumlead.forwarding.delegation_planner import SHARD_GROUP_SIZE
from geraniumlead.peering import DelegatedRequest

SHARDS = 87
PLACES = ("noord-a", "midden-a", "zuid-a")
START_MS = 5_000.0


def build_fleet(instances: int, run_ms: float = START_MS) -> FleetHarness:
    """Return a fleet in three regions; every third shard is far from any one instance."""
    fleet = FleetHarness([PLACES[number % len(PLACES)] for number in range(instances)])
    route = build_fan_out(SHARDS, min_share=0.9)
    records = [
        build_record(f"{name}.{place}", name, data_centre=place)
        for number, name in enumerate(route.services())
        for place in PLACES
        if place != PLACES[number % len(PLACES)]
    ]
    fleet.publish(build_updates(build_configuration(route), *records))
    fleet.run_until(run_ms)
    return fleet


def region_of(fleet: FleetHarness, address: str) -> str:
    return REGIONS[fleet.members[address].forwarder._settings.data_centre]


def query_all_instances(fleet: FleetHarness) -> dict[str, set[str]]:
    """Send each instance a query; return the instances that sent to each upstream."""
    instances_by_upstream: dict[str, set[str]] = {}
    for key, address in enumerate(fleet.members, start=1):
        fleet.ask(address, key)
        fleet.deliver()
        for upstream_id, found in fleet.instances_by_upstream().items():
            instances_by_upstream.setdefault(upstream_id, set()).update(found)
        fleet.answer_all()
        fleet.run_until(fleet.now_ms + 20.0)
    return instances_by_upstream


class FarShardGroupTests(TestCase):
    def test_far_shards_are_divided_among_peers_in_their_region(self):
        """Every third shard is only in other regions.

        If all of these went to one peer, it would open a connection to each in turn, and its reply
        would come after the goal.
        """
        fleet = build_fleet(18)
        messages = [
            outgoing
            for outgoing in fleet.ask(address_of(0), 1)
            if isinstance(outgoing.message, DelegatedRequest)
            and region_of(fleet, outgoing.address) != "noord"
        ]
        self.assertGreaterEqual(len(messages), 2)
        self.assertEqual(SHARDS // 3, sum(len(outgoing.message.shards) for outgoing in messages))
        self.assertEqual(1, len({region_of(fleet, outgoing.address) for outgoing in messages}))
        for outgoing in messages:
            self.assertLessEqual(len(outgoing.message.shards), SHARD_GROUP_SIZE)
        fleet.deliver()
        self.assertEqual(SHARDS, sum(fleet.started().values()))
        fleet.answer_all()
        self.assertEqual(0, fleet.members[address_of(0)].replies[1].missing)

    def test_few_far_shards_go_to_one_peer(self):
        """Twelve shards of a large index are only in another region, where they are in four groups.

        Split into groups of one or two each, most of them would be queried from here, across the
        regions.
        """
        fleet = build_fleet(18)
        route = build_fan_out(SHARDS, min_share=0.9)
        records = [
            build_record(f"{name}.{place}", name, data_centre=place)
            for number, name in enumerate(route.services())
            for place in (("midden-a",) if number < 12 else ("midden-a", "noord-a"))
        ]
        fleet.publish(build_updates(build_configuration(route, version=2), *records))
        fleet.run_until(fleet.now_ms + 1_500.0)
        messages = [
            outgoing
            for outgoing in fleet.ask(address_of(0), 1)
            if isinstance(outgoing.message, DelegatedRequest)
            and region_of(fleet, outgoing.address) != "noord"
        ]
        self.assertEqual([12], [len(outgoing.message.shards) for outgoing in messages])

    def test_queries_from_all_regions_use_the_same_connections(self):
        """Queries arrive at every instance of three regions.

        If each region chose its own peers for far shards, it would keep other connections open to
        the same upstreams, and most of them would be cold.
        """
        for instances in (18, 36):
            for upstream_id, found in query_all_instances(build_fleet(instances)).items():
                self.assertLessEqual(len(found), MAX_AGGREGATORS, (instances, upstream_id))

    def test_a_small_data_centre_has_one_aggregator_per_group(self):
        """Three instances in each data centre.

        If all were aggregators of all groups, each would open connections to all upstreams, more
        than one for each subrequest.
        """
        for upstream_id, found in query_all_instances(build_fleet(9)).items():
            self.assertEqual(1, len(found), upstream_id)

    def test_instances_that_have_not_met_agree_on_the_aggregators(self):
        """A fleet of ninety instances started two seconds ago, and a hello reaches six peers.

        If each instance chose among those that it had met, nearly all of them would open
        connections to nearly all upstreams in the first ten seconds.
        """
        fleet = build_fleet(90, run_ms=2_000.0)
        instances_by_upstream = query_all_instances(fleet)
        mean = sum(map(len, instances_by_upstream.values())) / len(instances_by_upstream)
        self.assertLessEqual(mean, 2.0 * MAX_AGGREGATORS)
        for member in fleet.members.values():
            (reply,) = member.replies.values()
            self.assertEqual(0, reply.missing)

    def test_a_peer_that_restarted_can_reply(self):
        """A peer restarts and does not know the sender yet, though the sender knows the peer.

        If its acknowledgement and reply had no address, each shard group delegated to it would wait
        in vain.
        """
        fleet = build_fleet(18)
        entry, peer = fleet.members[address_of(0)], fleet.members[address_of(3)]
        for key in range(1, 9):
            peer.forwarder._peers.directory.peers.pop("entry-1", None)
            fleet.ask(address_of(0), key)
            fleet.deliver()
            fleet.answer_all()
            self.assertEqual(0, entry.replies[key].missing)
        self.assertIsNone(entry.forwarder._peers.directory.peers["entry-4"].silent_since_ms)

    def test_a_peer_that_was_never_met_can_reply(self):
        """A peer is known from gossip only, and does not know the sender."""
        fleet = build_fleet(18)
        entry, peer = fleet.members[address_of(0)], address_of(3)
        del fleet.members[peer].forwarder._peers.directory.peers["entry-1"]
        known = entry.forwarder._peers.directory.peers["entry-4"]
        known.hello_sent_ms = known.latest_hello_ms = known.echoed_ms = float("-inf")
        known.mentioned_ms = fleet.now_ms
        for key in range(1, 9):
            fleet.ask(address_of(0), key)
            fleet.deliver()
            fleet.answer_all()
            self.assertEqual(0, entry.replies[key].missing)
        self.assertEqual(0, entry.forwarder.open_requests)
