"""Choose the peers that a hello names."""

from collections.abc import Mapping, Sequence
from random import Random

from geraniumlead.peering.known_peer import KnownPeer
from geraniumlead.peering.messages import PeerContact
from geraniumlead.peering.rumours import Rumours

MOST_NAMED = 80
"""Peers that are named to one that has just started, 1.5 KB compressed."""


class HelloNames:
    """Name many peers to one that has just started, and joiners to all others."""

    __slots__ = ("_random", "_rumours")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._rumours = Rumours()

    def add(self, instance_id: str, fleet_size: int) -> None:
        """Begin to name a joiner."""
        self._rumours.add(instance_id, fleet_size)

    def forget(self, instance_id: str) -> None:
        """Name a peer no more."""
        self._rumours.drop(instance_id)

    def sample(self, heard: Sequence[KnownPeer]) -> tuple[PeerContact, ...]:
        """Return some of the peers that were heard, for one that knows nobody."""
        chosen = self._random.sample(heard, min(MOST_NAMED, len(heard)))
        return tuple(peer.contact for peer in chosen)

    def take(
        self, peers: Mapping[str, KnownPeer], chance: KnownPeer | None
    ) -> tuple[PeerContact, ...]:
        """Return some joiners, and one peer that was chosen by chance.

        Failure: after a cut heals two parts of the fleet know nothing of each other. The one
        by chance passes between them until both know all.
        """
        names = self._rumours.take()
        if chance is not None and chance.contact.instance_id not in names:
            names.append(chance.contact.instance_id)
        return tuple(peers[name].contact for name in names)
