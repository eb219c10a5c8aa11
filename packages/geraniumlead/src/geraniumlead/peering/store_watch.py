"""Choose which instances of a data centre read the platform's store for the others."""

from random import Random

from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.peering.directory import PeerDirectory
from geraniumlead.peering.known_peer import KnownPeer

WATCHERS = 2
"""Instances of a data centre that watch the store: one may fail at any time unnoticed."""

LEAST_INSTANCES = 5
"""Instances of a data centre from which on two watch for all. Fewer all watch: it spares hardly
any calls, and who hears it from a watcher knows some tenths of a second less."""


class StoreWatch:
    """Say whether this instance watches the store, and to whom it passes on what changed.

    Load pattern: hundreds of upstreams start, leave and change, and every instance reads it all.
    The calls of a whole fleet cost more than its processors; here those of a data centre are
    those of two instances, however many it has.

    Failure: the watchers die, freeze or lose the store, or two instances disagree on who they
    are. Whoever hears nothing from a watcher for a part of the shortest bound asks the store
    itself and passes on what it read, so that a wrong choice costs calls and no freshness.
    """

    __slots__ = ("_data_centre", "_directory")

    def __init__(self, directory: PeerDirectory, data_centre: str) -> None:
        self._directory = directory
        self._data_centre = data_centre

    def is_watcher(self, now_ms: float) -> bool:
        """Return whether this instance watches the store."""
        neighbours = self._neighbours(now_ms)
        if len(neighbours) + 1 < LEAST_INSTANCES:
            return True
        names = [self._directory.own_id, *neighbours]
        watchers = rank_by_rendezvous(self._data_centre, names)[:WATCHERS]
        return self._directory.own_id in watchers

    def readers(self, now_ms: float) -> list[KnownPeer]:
        """Return the peers that this instance passes on to what it has read.

        The other watcher is among them, so that both know what either has read, and where all
        instances of a data centre watch, nobody is told.
        """
        told = list(self._neighbours(now_ms).values())
        return told if len(told) + 1 >= LEAST_INSTANCES else []

    def informant(self, now_ms: float, random: Random) -> KnownPeer | None:
        """Return a peer to ask for the state of the store; None when nobody is reached.

        Chosen by chance, so that one who knows no more is not asked again and again. Those of
        the own data centre go first: the state of 700 upstreams takes some 22 KB.
        """
        reached = [peer for peer in self._directory.reached(now_ms) if peer.is_ready]
        near = [peer for peer in reached if peer.contact.data_centre == self._data_centre]
        return random.choice(near or reached) if reached else None

    def peer(self, instance_id: str) -> KnownPeer | None:
        """Return a peer by its name."""
        return self._directory.peers.get(instance_id)

    def _neighbours(self, now_ms: float) -> dict[str, KnownPeer]:
        """Return the live peers of the own data centre by name."""
        return {
            peer.contact.instance_id: peer
            for peer in self._directory.live(now_ms)
            if peer.contact.data_centre == self._data_centre
        }
