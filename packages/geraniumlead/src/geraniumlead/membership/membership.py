"""Follow the peers of the published list by what is heard of them."""

from random import Random

from geraniumlead.beats import BeatRotation
from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.membership.peer import Peer
from geraniumlead.peers.messages import Goodbye, Heartbeat

WATCHERS_PER_DATA_CENTRE = 2
"""Instances of a data centre that keep a watch on the platform; one may fail at any time."""

LOCAL_BEATS = 12
"""Peers of the own data centre in one beat: all of them at today's size, and with the remote
ones about 32 messages a second at any size."""

REMOTE_BEATS = 4
"""Peers of other data centres in one beat: all of them at today's size. At the target all
instances of a data centre together send 920 beats to others, so news cross within one."""

REMOTE_CONTACTS = 2
"""Peers of each other data centre that beats go to, where there are more than one beat
reaches: to go through all of them would open a connection to every instance."""

PROBES_PER_BEAT = 16
"""Silent peers that are asked for a sign of life in one beat, so that a whole data centre
that fell silent does not turn into a burst of messages."""


class Membership:
    """Know the listed peers, which of them can be reached, and who watches the platform.

    A peer is judged by the path that is used: in a group small enough that every beat
    reaches all, silence is enough; in a larger one a peer counts as reachable until work
    sent to it, or a probe, stays without any message of its own for the peer timeout. So a
    one-way cut counts as a loss, though others still hear the peer, and no list of
    suspicions is passed around.
    """

    __slots__ = (
        "_awaited",
        "_data_centre",
        "_instance_id",
        "_local",
        "_own_state",
        "_peer_timeout_ms",
        "_remote",
        "_remote_count",
        "peers",
    )

    def __init__(self, instance_id: str, data_centre: str, peer_timeout_ms: float) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._peer_timeout_ms = peer_timeout_ms
        self._local = BeatRotation(LOCAL_BEATS)
        self._remote = BeatRotation(REMOTE_BEATS)
        self._remote_count = 0
        self._awaited: dict[str, None] = {}
        self._own_state = "live"
        self.peers: dict[str, Peer] = {}

    @property
    def is_leaving(self) -> bool:
        """Return whether the published list says that this instance leaves."""
        return self._own_state == "leaving"

    def update(self, view: ClusterView) -> None:
        """Take over the published lists; what was heard of a peer is kept."""
        listed = {
            entry.instance_id: (entry, data_centre)
            for data_centre, entries in view.instances.items()
            for entry in entries
        }
        own = listed.pop(self._instance_id, None)
        self._own_state = "live" if own is None else own[0].state
        for name in self.peers.keys() - listed.keys():
            del self.peers[name]
            self._awaited.pop(name, None)
        for name, (entry, data_centre) in listed.items():
            peer = self.peers.get(name)
            if peer is None:
                self.peers[name] = Peer(entry, data_centre)
            else:
                peer.entry, peer.data_centre = entry, data_centre
        self._local.update(name for name in listed if self._is_local(name))
        self._update_remote([name for name in listed if not self._is_local(name)])

    def hear(self, sender_id: str, message: Heartbeat | Goodbye, now_ms: float) -> Peer | None:
        """Note a sign of life or a farewell; None for a sender that is not listed."""
        peer = self.peers.get(sender_id)
        if peer is None:
            return None
        self.note_heard(sender_id, now_ms)
        match message:
            case Heartbeat():
                self._take_heartbeat(peer, message)
            case Goodbye(incarnation=incarnation):
                peer.left_incarnation = incarnation
        return peer

    def note_heard(self, sender_id: str, now_ms: float) -> None:
        """Note that any message came from a peer: it lives, and its way here works."""
        peer = self.peers.get(sender_id)
        if peer is not None:
            peer.heard_ms = now_ms
            peer.unanswered_since_ms = None
            self._awaited.pop(sender_id, None)

    def note_asked(self, instance_id: str, now_ms: float) -> None:
        """Note that work or a probe was sent to a peer, which must be heard after it."""
        peer = self.peers.get(instance_id)
        if peer is not None and peer.unanswered_since_ms is None:
            peer.unanswered_since_ms = now_ms
            self._awaited[instance_id] = None

    def take_beat_targets(self, random: Random) -> list[str]:
        """Return the peers that this beat goes to."""
        return [*self._local.take(random), *self._remote.take(random)]

    def find_farewell_targets(self) -> list[str]:
        """Return the peers that are told of a stop at once; others are when they send work."""
        remote_too = self._remote_count <= REMOTE_BEATS
        return [name for name in self.peers if remote_too or self._is_local(name)]

    def take_probe_targets(self, interval_ms: float, now_ms: float) -> list[str]:
        """Return peers that were asked an interval ago or more and are still silent.

        A cancelled subquery is never answered, so silence after work proves nothing by
        itself; silence after a probe does.
        """
        due = []
        for name in list(self._awaited)[: 4 * PROBES_PER_BEAT]:
            since_ms = self.peers[name].unanswered_since_ms
            if since_ms is not None and now_ms - since_ms >= interval_ms:
                due.append(name)
                # To the end, so that the next beat asks others first.
                del self._awaited[name]
                self._awaited[name] = None
            if len(due) == PROBES_PER_BEAT:
                break
        return due

    def is_reachable(self, instance_id: str, now_ms: float) -> bool:
        """Return whether work may be sent to a peer."""
        peer = self.peers.get(instance_id)
        if peer is None or peer.leaving:
            return False
        since_ms = peer.unanswered_since_ms
        if since_ms is not None and now_ms - since_ms > self._peer_timeout_ms:
            return False
        if not self._hears_each_beat(instance_id):
            return True
        return now_ms - peer.heard_ms <= self._peer_timeout_ms

    def local_peers(self) -> list[Peer]:
        """Return the listed peers of this instance's own data centre."""
        return [peer for peer in self.peers.values() if peer.data_centre == self._data_centre]

    def is_watcher(self) -> bool:
        """Return whether this instance keeps a watch on the platform.

        It follows from the published list. An instance that is not on the list yet watches
        too: it has no other way to learn of its peers.
        """
        local = [
            peer.entry.instance_id for peer in self.local_peers() if peer.entry.state == "live"
        ]
        if not local:
            return True
        ranked = rank_by_rendezvous(self._data_centre, [*local, self._instance_id])
        return self._instance_id in ranked[:WATCHERS_PER_DATA_CENTRE]

    def _update_remote(self, names: list[str]) -> None:
        self._remote_count = len(names)
        if len(names) <= REMOTE_BEATS:
            self._remote.update(names)
            return
        by_data_centre: dict[str, list[str]] = {}
        for name in names:
            by_data_centre.setdefault(self.peers[name].data_centre, []).append(name)
        self._remote.update(
            contact
            for group in by_data_centre.values()
            for contact in rank_by_rendezvous(self._instance_id, group)[:REMOTE_CONTACTS]
        )

    def _hears_each_beat(self, instance_id: str) -> bool:
        if self._is_local(instance_id):
            return self._local.reaches_all
        return self._remote_count <= REMOTE_BEATS

    def _take_heartbeat(self, peer: Peer, heartbeat: Heartbeat) -> None:
        peer.incarnation = heartbeat.incarnation
        peer.revision = heartbeat.revision
        peer.ready = heartbeat.ready
        if heartbeat.stopping:
            peer.left_incarnation = heartbeat.incarnation
        elif heartbeat.incarnation != peer.left_incarnation:
            peer.left_incarnation = None

    def _is_local(self, instance_id: str) -> bool:
        return self.peers[instance_id].data_centre == self._data_centre
