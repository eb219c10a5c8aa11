from collections.abc import Mapping
from itertools import chain
from random import Random

from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.peering.directory import PeerDirectory
from geraniumlead.peering.known_peer import KnownPeer

WATCHERS_PER_GROUP = 2
"""Number of instances of a group that watch the store, so that any one may fail unnoticed."""

MIN_GROUP_SIZE = 5
"""Smallest group in which two instances watch for all. In a smaller one all watch: relaying would
save hardly any calls, and relayed updates arrive some tenths of a second later."""


class StoreWatch:
    """Decides whether this instance watches the store, and which peers it relays updates to.

    Load pattern: hundreds of upstreams start, leave and change, and every instance needs all of
    these changes. If each of them watched the store, the calls of a fleet would cost more than
    its processors. Instead two instances of each data centre watch, however many it has. Small
    data centres share two watchers with the other small ones of their region.

    Failure: the watchers crash, are paused or lose the store, or two instances disagree on which
    ones they are. An instance that gets no updates from a watcher for a part of the shortest bound
    reads the store itself and relays the result, so a wrong choice costs calls but no freshness.
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
        if len(members) + 1 < MIN_GROUP_SIZE:
            return True
        names = [self._directory.own_id, *(peer.contact.instance_id for peer in members)]
        return self._directory.own_id in rank_by_rendezvous(group, names)[:WATCHERS_PER_GROUP]

    def update_receivers(self, now_ms: float) -> list[KnownPeer]:
        """Return the peers that this instance relays its updates to.

        The other watcher is among them, so that both have the updates that either has read.
        Where all instances of a group watch, there are none.
        """
        _, members = self._group(now_ms)
        return members if len(members) + 1 >= MIN_GROUP_SIZE else []

    def choose_state_source(self, now_ms: float, random: Random) -> KnownPeer | None:
        """Return a peer to request the state of the store from; None when none is reachable.

        It is chosen at random, so that one without newer state is not asked again and again.
        Peers of the same data centre are preferred: the state of 700 upstreams takes some 22 KB.
        """
        reachable = [peer for peer in self._directory.reachable(now_ms) if peer.is_ready]
        near = [peer for peer in reachable if peer.contact.data_centre == self._data_centre]
        return random.choice(near or reachable) if reachable else None

    def relay_delay_ms(self, instance_id: str, sent_ms: float | None, now_ms: float) -> float:
        """Return how much longer than usual a peer's relayed updates took; 0 for its first.

        Failure: in a large fleet a watcher is known by gossip only, and no hello of it has come.
        Updates that waited in a cut seemed fresh, so a view that was seconds old was acted upon.
        """
        peer = self.peer(instance_id)
        if peer is None or sent_ms is None:
            return 0.0
        peer.clock_offset.record(sent_ms, now_ms)
        return peer.extra_delay_ms(sent_ms, now_ms)

    def peer(self, instance_id: str) -> KnownPeer | None:
        """Return a known peer by its name."""
        return self._directory.peers.get(instance_id)

    def _group(self, now_ms: float) -> tuple[str, list[KnownPeer]]:
        """Return the name of the group that shares watchers, and its other live members.

        A group is a data centre, or all small data centres of a region.
        """
        region = self._regions.get(self._data_centre)
        by_data_centre: dict[str, list[KnownPeer]] = {self._data_centre: []}
        for peer in self._directory.live(now_ms):
            data_centre = peer.contact.data_centre
            if data_centre == self._data_centre or (
                region and self._regions.get(data_centre) == region
            ):
                by_data_centre.setdefault(data_centre, []).append(peer)
        local_peers = by_data_centre.pop(self._data_centre)
        if len(local_peers) + 1 >= MIN_GROUP_SIZE or region is None:
            return self._data_centre, local_peers
        small = [peers for peers in by_data_centre.values() if len(peers) < MIN_GROUP_SIZE]
        return region, [*local_peers, *chain.from_iterable(small)]
