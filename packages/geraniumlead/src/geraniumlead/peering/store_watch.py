"""Choose which instances read the platform's store for others beside them."""

from collections.abc import Mapping
from itertools import chain
from random import Random

from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.peering.directory import PeerDirectory
from geraniumlead.peering.known_peer import KnownPeer

WATCHERS = 2
"""Instances of a group that watch the store: one may fail at any time unnoticed."""

LEAST_INSTANCES = 5
"""Instances of a group from which on two watch for all. Fewer all watch: it spares hardly any
calls, and who hears it from a watcher knows some tenths of a second less."""


class StoreWatch:
    """Say whether this instance watches the store, and to whom it passes on what changed.

    Load pattern: hundreds of upstreams start, leave and change, and every instance reads it all.
    The calls of a whole fleet cost more than its processors; here those of a data centre are
    those of two instances, however many it has. Data centres of a few instances share two with
    the other small ones of their region.

    Failure: the watchers die, freeze or lose the store, or two instances disagree on who they
    are. Whoever hears nothing from a watcher for a part of the shortest bound asks the store
    itself and passes on what it read, so that a wrong choice costs calls and no freshness.
    """

    __slots__ = ("_data_centre", "_directory", "_regions")

    def __init__(
        self, directory: PeerDirectory, data_centre: str, regions: Mapping[str, str]
    ) -> None:
        self._directory = directory
        self._data_centre = data_centre
        self._regions = regions

    def is_watcher(self, now_ms: float) -> bool:
        """Return whether this instance watches the store."""
        group, members = self._group(now_ms)
        if len(members) + 1 < LEAST_INSTANCES:
            return True
        names = [self._directory.own_id, *(peer.contact.instance_id for peer in members)]
        return self._directory.own_id in rank_by_rendezvous(group, names)[:WATCHERS]

    def readers(self, now_ms: float) -> list[KnownPeer]:
        """Return the peers that this instance passes on to what it has read.

        The other watcher is among them, so that both know what either has read, and where all
        instances of a group watch, nobody is told.
        """
        _, members = self._group(now_ms)
        return members if len(members) + 1 >= LEAST_INSTANCES else []

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

    def _group(self, now_ms: float) -> tuple[str, list[KnownPeer]]:
        """Return the name of the group that reads together, and its other live members.

        That is the data centre, or the small ones of a region together.
        """
        region = self._regions.get(self._data_centre)
        by_place: dict[str, list[KnownPeer]] = {self._data_centre: []}
        for peer in self._directory.live(now_ms):
            place = peer.contact.data_centre
            if place == self._data_centre or (region and self._regions.get(place) == region):
                by_place.setdefault(place, []).append(peer)
        neighbours = by_place.pop(self._data_centre)
        if len(neighbours) + 1 >= LEAST_INSTANCES or region is None:
            return self._data_centre, neighbours
        small = [peers for peers in by_place.values() if len(peers) < LEAST_INSTANCES]
        return region, [*neighbours, *chain.from_iterable(small)]
