"""Tests of the targets of heartbeats and of the timeouts of peers."""

from random import Random
from unittest import TestCase

from geraniumlead.peering import KnownPeer, PeerContact
from geraniumlead.peering.heartbeat_rings import (
    FAR_PEERS_PER_HEARTBEAT,
    NEAR_PEERS_PER_HEARTBEAT,
    PEER_TIMEOUT_MS,
    PEERS_PER_HEARTBEAT,
    HeartbeatRings,
)

REGIONS = {"noord-a": "noord", "noord-b": "noord", "zuid-a": "zuid"}


def build_peers(data_centre: str, count: int) -> list[KnownPeer]:
    return [
        KnownPeer(PeerContact(f"{data_centre}-{number}", "10.0.0.1:1", data_centre))
        for number in range(count)
    ]


class BeatRingsTests(TestCase):
    def build(self, *peers: KnownPeer) -> HeartbeatRings:
        rings = HeartbeatRings(PeerContact("own", "10.0.0.9:1", "noord-a"), REGIONS)
        rings.update(peers)
        return rings

    def test_heartbeats_of_a_small_fleet_go_to_all_peers(self):
        for near_count in range(PEERS_PER_HEARTBEAT + 1):
            peers = build_peers("noord-b", near_count)
            peers += build_peers("zuid-a", PEERS_PER_HEARTBEAT - near_count)
            rings = self.build(*peers)
            self.assertEqual(
                PEERS_PER_HEARTBEAT, len(set(rings.next_targets(Random(1)))), near_count
            )
            self.assertEqual(PEER_TIMEOUT_MS, rings.peer_timeout_ms("zuid-a-0"))

    def test_heartbeats_of_a_large_fleet_go_to_some_near_and_far_peers(self):
        rings = self.build(*build_peers("noord-b", 20), *build_peers("zuid-a", 40))
        names = rings.next_targets(Random(1))
        self.assertEqual(NEAR_PEERS_PER_HEARTBEAT, sum(name.startswith("noord") for name in names))
        self.assertEqual(FAR_PEERS_PER_HEARTBEAT, sum(name.startswith("zuid") for name in names))

    def test_all_peers_get_a_heartbeat_within_a_round(self):
        rings, random = self.build(*build_peers("noord-b", 20), *build_peers("zuid-a", 40)), Random(
            2
        )
        reached = {name for _ in range(20) for name in rings.next_targets(random)}
        self.assertEqual(60, len(reached))

    def test_timeout_grows_with_the_length_of_the_round(self):
        """Guards against a far peer that sends each 20 seconds and counts as gone after 3."""
        rings = self.build(*build_peers("noord-b", 20), *build_peers("zuid-a", 40))
        self.assertEqual(5 * PEER_TIMEOUT_MS, rings.peer_timeout_ms("noord-b-3"))
        self.assertEqual(20 * PEER_TIMEOUT_MS, rings.peer_timeout_ms("zuid-a-3"))

    def test_unused_share_of_one_ring_goes_to_the_other(self):
        rings = self.build(*build_peers("noord-b", 30), *build_peers("zuid-a", 1))
        self.assertEqual(PEERS_PER_HEARTBEAT, len(rings.next_targets(Random(1))))
