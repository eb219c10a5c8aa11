from collections.abc import Mapping, Sequence
from random import Random

from geraniumlead.peering.gossiped_contacts import GossipedContacts
from geraniumlead.peering.known_peer import KnownPeer
from geraniumlead.peering.messages import PeerContact

MAX_SAMPLED_CONTACTS = 80
"""Largest number of contacts sent to an instance that has just started, 1.5 KB compressed."""


class ContactSelector:
    """Chooses the contacts that a hello carries.

    An instance that has just started gets many contacts; all others get those of new instances.
    """

    __slots__ = ("_gossiped", "_random")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._gossiped = GossipedContacts()

    def add(self, instance_id: str, fleet_size: int) -> None:
        """Start to announce a new instance."""
        self._gossiped.add(instance_id, fleet_size)

    def forget(self, instance_id: str) -> None:
        """Stop announcing a peer."""
        self._gossiped.remove(instance_id)

    def sample(self, peers: Sequence[KnownPeer]) -> tuple[PeerContact, ...]:
        """Return a random sample of peers that sent hellos, for one that knows no peers."""
        chosen = self._random.sample(peers, min(MAX_SAMPLED_CONTACTS, len(peers)))
        return tuple(peer.contact for peer in chosen)

    def next_contacts(
        self, peers: Mapping[str, KnownPeer], random_peer: KnownPeer | None
    ) -> tuple[PeerContact, ...]:
        """Return some new instances, and the given random peer.

        Failure: after a network partition heals, the two parts of the fleet have forgotten each
        other. Random contacts are exchanged between them until both know all instances.
        """
        names = self._gossiped.next_names()
        if random_peer is not None and random_peer.contact.instance_id not in names:
            names.append(random_peer.contact.instance_id)
        return tuple(peers[name].contact for name in names)
