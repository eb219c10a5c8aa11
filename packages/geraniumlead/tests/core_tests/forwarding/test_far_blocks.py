"""Test queries over many shards of which each is in two of three regions only."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    REGIONS,
    build_configuration,
    build_fan_out,
    build_record,
    build_updates,
)
from core_tests.forwarding.fleet_harness import FleetHarness, address_of
from geraniumlead.forwarding.aggregator_chooser import GATHERERS
from geraniumlead.forwarding.delegation_plan import BLOCK_SHARDS
from geraniumlead.peering import DelegatedRequest

SHARDS = 87
PLACES = ("noord-a", "midden-a", "zuid-a")
START_MS = 5_000.0


def build_fleet(instances: int, run_ms: float = START_MS) -> FleetHarness:
    """Return a fleet spread over three regions; every third shard is far from any of them."""
    fleet = FleetHarness([PLACES[number % len(PLACES)] for number in range(instances)])
    route = build_fan_out(SHARDS, least_share=0.9)
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


def ask_all(fleet: FleetHarness) -> dict[str, set[str]]:
    """Ask each instance once; return who has asked each upstream."""
    askers: dict[str, set[str]] = {}
    for key, address in enumerate(fleet.members, start=1):
        fleet.ask(address, key)
        fleet.deliver()
        for upstream_id, found in fleet.askers().items():
            askers.setdefault(upstream_id, set()).update(found)
        fleet.answer_all()
        fleet.run_until(fleet.now_ms + 20.0)
    return askers


class FarBlockTests(TestCase):
    def test_far_shards_are_shared_out_among_peers_beside_them(self):
        """Every third shard is only elsewhere, and all of these went to one peer.

        It opened a connection for each of them in turn, and its reply came after the goal.
        """
        fleet = build_fleet(18)
        letters = [
            letter
            for letter in fleet.ask(address_of(0), 1)
            if isinstance(letter.message, DelegatedRequest)
            and region_of(fleet, letter.address) != "noord"
        ]
        self.assertGreaterEqual(len(letters), 2)
        self.assertEqual(SHARDS // 3, sum(len(letter.message.shards) for letter in letters))
        self.assertEqual(1, len({region_of(fleet, letter.address) for letter in letters}))
        for letter in letters:
            self.assertLessEqual(len(letter.message.shards), BLOCK_SHARDS)
        fleet.deliver()
        self.assertEqual(SHARDS, sum(fleet.started().values()))
        fleet.answer_all()
        self.assertEqual(0, fleet.members[address_of(0)].replies[1].missing)

    def test_few_far_shards_go_to_one_peer(self):
        """A dozen shards of a large index are only elsewhere, where they belong to four blocks.

        Cut into blocks of one or two each, most of them were asked from here, across the regions.
        """
        fleet = build_fleet(18)
        route = build_fan_out(SHARDS, least_share=0.9)
        records = [
            build_record(f"{name}.{place}", name, data_centre=place)
            for number, name in enumerate(route.services())
            for place in (("midden-a",) if number < 12 else ("midden-a", "noord-a"))
        ]
        fleet.publish(build_updates(build_configuration(route, version=2), *records))
        fleet.run_until(fleet.now_ms + 1_500.0)
        letters = [
            letter
            for letter in fleet.ask(address_of(0), 1)
            if isinstance(letter.message, DelegatedRequest)
            and region_of(fleet, letter.address) != "noord"
        ]
        self.assertEqual([12], [len(letter.message.shards) for letter in letters])

    def test_far_callers_use_the_same_connections_as_near_ones(self):
        """Queries come to every instance of three regions.

        With a peer of their own choice for far shards, each region kept other connections open
        to the same upstreams, and all of them were mostly cold.
        """
        for instances in (18, 36):
            for upstream_id, found in ask_all(build_fleet(instances)).items():
                self.assertLessEqual(len(found), GATHERERS, (instances, upstream_id))

    def test_in_a_small_data_centre_one_instance_gathers_a_block(self):
        """Three instances a data centre, which were all gatherers of all blocks.

        Each opened connections to all upstreams, more than one for each part that it asked.
        """
        for upstream_id, found in ask_all(build_fleet(9)).items():
            self.assertEqual(1, len(found), upstream_id)

    def test_instances_that_have_not_met_agree_on_who_gathers(self):
        """A fleet of ninety started two seconds ago, and a beat reaches six peers.

        Each instance chose among those that it had met, so nearly all of them opened connections
        to nearly all upstreams in the first ten seconds.
        """
        fleet = build_fleet(90, run_ms=2_000.0)
        askers = ask_all(fleet)
        mean = sum(map(len, askers.values())) / len(askers)
        self.assertLessEqual(mean, 2.0 * GATHERERS)
        for member in fleet.members.values():
            (reply,) = member.replies.values()
            self.assertEqual(0, reply.missing)

    def test_a_peer_that_started_again_can_reply(self):
        """A peer starts again and has not heard yet who asks it, though it was met before.

        Its word and its reply had no address, so each of its blocks waited in vain.
        """
        fleet = build_fleet(18)
        entry, peer = fleet.members[address_of(0)], fleet.members[address_of(3)]
        for key in range(1, 9):
            peer.forwarder._peers.directory.peers.pop("entry-1", None)
            fleet.ask(address_of(0), key)
            fleet.deliver()
            fleet.answer_all()
            self.assertEqual(0, entry.replies[key].missing)
        self.assertIsNone(entry.forwarder._peers.directory.peers["entry-4"].silent_ms)

    def test_a_peer_that_was_never_met_can_reply(self):
        """An instance is known by name only, and does not know who asks it."""
        fleet = build_fleet(18)
        entry, peer = fleet.members[address_of(0)], address_of(3)
        del fleet.members[peer].forwarder._peers.directory.peers["entry-1"]
        known = entry.forwarder._peers.directory.peers["entry-4"]
        known.told_ms = known.heard_ms = known.echoed_ms = float("-inf")
        known.mentioned_ms = fleet.now_ms
        for key in range(1, 9):
            fleet.ask(address_of(0), key)
            fleet.deliver()
            fleet.answer_all()
            self.assertEqual(0, entry.replies[key].missing)
        self.assertEqual(0, entry.forwarder.open_requests)
