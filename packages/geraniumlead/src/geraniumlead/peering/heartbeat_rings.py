from collections.abc import Iterable, Mapping
from math import ceil
from random import Random

from geraniumlead.heartbeats import HeartbeatRotation
from geraniumlead.peering.known_peer import KnownPeer
from geraniumlead.peering.messages import PeerContact

PEER_TIMEOUT_MS = 3_200.0
"""Time without a message after which a peer counts as gone: three hellos, so two may be lost."""

NEAR_PEERS_PER_HEARTBEAT = 4
FAR_PEERS_PER_HEARTBEAT = 2
"""Number of peers of the same region and of other regions that one heartbeat goes to in a large
fleet. Heartbeats rotate over all peers, and the timeout grows with the length of a rotation. Each
instance receives hellos of six others a second, at 2 KB/s for any size of the fleet. A dead peer is
detected sooner when a request is sent to it."""

PEERS_PER_HEARTBEAT = NEAR_PEERS_PER_HEARTBEAT + FAR_PEERS_PER_HEARTBEAT
"""Largest number of peers for which every heartbeat goes to all: a fleet of seven instances."""


class HeartbeatRings:
    """Two rotations, of the near and the far peers, that choose the targets of each heartbeat.

    Near peers are those of the same data centre or region.

    Load pattern: tens to thousands of instances. Hellos to all of them would take more bytes
    than all responses to callers, most of them between regions.
    """

    __slots__ = ("_far", "_near", "_near_names", "_own", "_peer_count", "_regions")

    def __init__(self, own: PeerContact, regions: Mapping[str, str]) -> None:
        self._own = own
        self._regions = regions
        self._near = HeartbeatRotation(NEAR_PEERS_PER_HEARTBEAT)
        self._far = HeartbeatRotation(FAR_PEERS_PER_HEARTBEAT)
        self._near_names: frozenset[str] = frozenset()
        self._peer_count = 0

    def update(self, peers: Iterable[KnownPeer]) -> None:
        """Replace the known peers."""
        contacts = [peer.contact for peer in peers]
        near = [contact.instance_id for contact in contacts if self.is_near(contact)]
        self._near_names = frozenset(near)
        self._peer_count = len(contacts)
        self._near.update(near)
        self._far.update(
            contact.instance_id
            for contact in contacts
            if contact.instance_id not in self._near_names
        )
        # A rotation with fewer peers than its share leaves the rest of it to the other one.
        far_count = max(
            min(FAR_PEERS_PER_HEARTBEAT, len(contacts) - len(near)), PEERS_PER_HEARTBEAT - len(near)
        )
        self._far.resize(far_count)
        self._near.resize(PEERS_PER_HEARTBEAT - far_count)

    def next_targets(self, random: Random) -> list[str]:
        """Return the peers that the next heartbeat goes to."""
        return self._near.next_targets(random) + self._far.next_targets(random)

    def peer_timeout_ms(self, instance_id: str) -> float:
        """Return the time without a message after which a peer is gone: three full rotations."""
        if self._peer_count <= PEERS_PER_HEARTBEAT:
            return PEER_TIMEOUT_MS
        near_count = len(self._near_names)
        if instance_id in self._near_names:
            return PEER_TIMEOUT_MS * max(1, ceil(near_count / NEAR_PEERS_PER_HEARTBEAT))
        return PEER_TIMEOUT_MS * max(
            1, ceil((self._peer_count - near_count) / FAR_PEERS_PER_HEARTBEAT)
        )

    def is_near(self, contact: PeerContact) -> bool:
        """Return whether a peer is in the same data centre or region."""
        return self.region_of(contact) == self.region_of(self._own)

    def region_of(self, contact: PeerContact) -> str:
        """Return the region of a peer; a data centre without a known one is its own region."""
        return self._regions.get(contact.data_centre, contact.data_centre)
