"""Follow the peers of the published list by their heartbeats."""

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.membership.peer import Peer
from geraniumlead.ownership.rendezvous import rank_by_rendezvous
from geraniumlead.peers.messages import Goodbye, Heartbeat

WATCHERS_PER_DATA_CENTRE = 2
"""Instances of a data centre that keep a watch on the platform; one may fail at any time."""


class Membership:
    """Know the listed peers, who of them was heard lately, and who watches the platform."""

    __slots__ = ("_data_centre", "_instance_id", "_peer_timeout_ms", "peers")

    def __init__(self, instance_id: str, data_centre: str, peer_timeout_ms: float) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._peer_timeout_ms = peer_timeout_ms
        self.peers: dict[str, Peer] = {}

    def update(self, view: ClusterView) -> None:
        """Take over the published lists; what was heard of a peer is kept."""
        listed = {
            entry.instance_id: (entry, data_centre)
            for data_centre, entries in view.instances.items()
            for entry in entries
            if entry.instance_id != self._instance_id
        }
        for name in self.peers.keys() - listed.keys():
            del self.peers[name]
        for name, (entry, data_centre) in listed.items():
            peer = self.peers.get(name)
            if peer is None:
                self.peers[name] = Peer(entry, data_centre)
            else:
                peer.entry = entry

    def hear(self, sender_id: str, message: Heartbeat | Goodbye, now_ms: float) -> Peer | None:
        """Note a sign of life or a farewell; None for a sender that is not listed."""
        peer = self.peers.get(sender_id)
        if peer is None:
            return None
        peer.heard_ms = now_ms
        match message:
            case Heartbeat():
                peer.incarnation = message.incarnation
                peer.revision = message.revision
                peer.ready = message.ready
                peer.leaving = False
            case Goodbye():
                peer.leaving = True
        return peer

    def is_reachable(self, instance_id: str, now_ms: float) -> bool:
        """Return whether a peer was heard lately and is not leaving."""
        peer = self.peers.get(instance_id)
        if peer is None or peer.leaving:
            return False
        return now_ms - peer.heard_ms <= self._peer_timeout_ms

    def local_peers(self) -> list[Peer]:
        """Return the listed peers of this instance's own data centre."""
        return [peer for peer in self.peers.values() if peer.data_centre == self._data_centre]

    def is_watcher(self) -> bool:
        """Return whether this instance keeps a watch on the platform.

        It follows from the published list. An instance that is not on the list yet watches
        too: it has no other way to learn of its peers.
        """
        local = [peer.entry.instance_id for peer in self.local_peers()]
        if not local:
            return True
        ranked = rank_by_rendezvous(self._data_centre, [*local, self._instance_id])
        return self._instance_id in ranked[:WATCHERS_PER_DATA_CENTRE]
