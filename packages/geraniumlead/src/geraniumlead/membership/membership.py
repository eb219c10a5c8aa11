from random import Random

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.heartbeats import HeartbeatRotation
from geraniumlead.membership.peer import Peer
from geraniumlead.peer_messages.messages import Goodbye, Heartbeat

WATCHERS_PER_DATA_CENTRE = 2
"""Instances of a data centre that watch the platform, so that any one of them may fail."""

LOCAL_PEERS_PER_HEARTBEAT = 12
"""Peers of the same data centre that one heartbeat goes to: all of them in data centres of up to
13 instances. Together with the remote ones that is about 32 messages a second at any size."""

REMOTE_PEERS_PER_HEARTBEAT = 4
"""Peers of other data centres that one heartbeat goes to: all of them where there are at most four.
At the target size all instances of a data centre together send 920 heartbeats to other data
centres, so updates reach them within one heartbeat."""

REMOTE_PEERS_PER_DATA_CENTRE = 2
"""Peers of each other data centre that get heartbeats when there are more remote peers than
REMOTE_PEERS_PER_HEARTBEAT: a rotation over all would open a connection to every instance."""

PROBES_PER_HEARTBEAT = 16
"""Largest number of silent peers that are probed in one heartbeat interval, so that a whole silent
data centre does not cause a burst of messages."""


class Membership:
    """The listed peers, which of them are reachable, and which instances watch the platform.

    Only the path between this instance and a peer decides whether the peer is reachable. In a
    group in which every heartbeat goes to all, a peer is unreachable when nothing was heard from
    it for the peer timeout. In a larger group it is unreachable when no message of any kind
    follows a request or probe to it for the peer timeout. So a one-way network failure counts
    as a loss, though others still receive messages of the peer, and no list of suspected peers
    is exchanged.
    """

    __slots__ = (
        "_data_centre",
        "_instance_id",
        "_local",
        "_own_state",
        "_peer_timeout_ms",
        "_remote",
        "_remote_count",
        "_unanswered",
        "peers",
    )

    def __init__(self, instance_id: str, data_centre: str, peer_timeout_ms: float) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._peer_timeout_ms = peer_timeout_ms
        self._local = HeartbeatRotation(LOCAL_PEERS_PER_HEARTBEAT)
        self._remote = HeartbeatRotation(REMOTE_PEERS_PER_HEARTBEAT)
        self._remote_count = 0
        self._unanswered: dict[str, None] = {}
        self._own_state = "live"
        self.peers: dict[str, Peer] = {}

    @property
    def is_leaving(self) -> bool:
        """Return whether the published list marks this instance as leaving."""
        return self._own_state == "leaving"

    def update(self, view: ClusterView) -> None:
        """Replace the published lists; the state of peers that are still listed is kept."""
        listed = {
            entry.instance_id: (entry, data_centre)
            for data_centre, entries in view.instances.items()
            for entry in entries
        }
        own = listed.pop(self._instance_id, None)
        self._own_state = "live" if own is None else own[0].state
        for name in self.peers.keys() - listed.keys():
            del self.peers[name]
            self._unanswered.pop(name, None)
        for name, (entry, data_centre) in listed.items():
            peer = self.peers.get(name)
            if peer is None:
                self.peers[name] = Peer(entry, data_centre)
            else:
                peer.entry, peer.data_centre = entry, data_centre
        self._local.update(name for name in listed if self._is_local(name))
        self._update_remote([name for name in listed if not self._is_local(name)])

    def handle_message(
        self, sender_id: str, message: Heartbeat | Goodbye, now_ms: float
    ) -> Peer | None:
        """Apply a heartbeat or goodbye; return its sender, or None if it is not listed."""
        peer = self.peers.get(sender_id)
        if peer is None:
            return None
        self.record_message(sender_id, now_ms)
        match message:
            case Heartbeat():
                self._apply_heartbeat(peer, message)
            case Goodbye(incarnation=incarnation):
                peer.left_incarnation = incarnation
        return peer

    def record_message(self, sender_id: str, now_ms: float) -> None:
        """Record a message of any kind from a peer: it is alive, and its messages arrive here."""
        peer = self.peers.get(sender_id)
        if peer is not None:
            peer.latest_message_ms = now_ms
            peer.unanswered_since_ms = None
            self._unanswered.pop(sender_id, None)

    def record_clock(self, sender_id: str, sent_ms: float, now_ms: float) -> None:
        """Record that a peer sent a message at ``sent_ms`` of its clock."""
        peer = self.peers.get(sender_id)
        if peer is not None:
            peer.clock_offset.record(sent_ms, now_ms)

    def record_sent(self, instance_id: str, now_ms: float) -> None:
        """Record that work or a probe was sent to a peer, which has to send a message after it."""
        peer = self.peers.get(instance_id)
        if peer is not None and peer.unanswered_since_ms is None:
            peer.unanswered_since_ms = now_ms
            self._unanswered[instance_id] = None

    def next_heartbeat_targets(self, random: Random) -> list[str]:
        """Return the peers that the next heartbeat goes to."""
        return [*self._local.next_targets(random), *self._remote.next_targets(random)]

    def find_goodbye_targets(self) -> list[str]:
        """Return the peers that get a goodbye at once; others get it when they send work."""
        remote_too = self._remote_count <= REMOTE_PEERS_PER_HEARTBEAT
        return [name for name in self.peers if remote_too or self._is_local(name)]

    def next_probe_targets(self, interval_ms: float, now_ms: float) -> list[str]:
        """Return peers that sent nothing since work or a probe at least an interval ago.

        A cancelled subquery is never answered, so silence after work alone is no evidence of a
        failure; silence after a probe is.
        """
        due = []
        for name in list(self._unanswered)[: 4 * PROBES_PER_HEARTBEAT]:
            since_ms = self.peers[name].unanswered_since_ms
            if since_ms is not None and now_ms - since_ms >= interval_ms:
                due.append(name)
                # Move it to the end, so that the next heartbeat interval probes others first.
                del self._unanswered[name]
                self._unanswered[name] = None
            if len(due) == PROBES_PER_HEARTBEAT:
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
        if not self._receives_every_heartbeat(instance_id):
            return True
        return now_ms - peer.latest_message_ms <= self._peer_timeout_ms

    def local_peers(self) -> list[Peer]:
        """Return the listed peers of this instance's own data centre."""
        return [peer for peer in self.peers.values() if peer.data_centre == self._data_centre]

    def is_watcher(self) -> bool:
        """Return whether this instance watches the platform.

        This depends on the published list alone. An instance that knows no live listed peers in
        its data centre, as before it is listed itself, watches, too: it has no other way to
        learn of its peers.
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
        if len(names) <= REMOTE_PEERS_PER_HEARTBEAT:
            self._remote.update(names)
            return
        by_data_centre: dict[str, list[str]] = {}
        for name in names:
            by_data_centre.setdefault(self.peers[name].data_centre, []).append(name)
        self._remote.update(
            contact
            for group in by_data_centre.values()
            for contact in rank_by_rendezvous(self._instance_id, group)[
                :REMOTE_PEERS_PER_DATA_CENTRE
            ]
        )

    def _receives_every_heartbeat(self, instance_id: str) -> bool:
        if self._is_local(instance_id):
            return self._local.reaches_all
        return self._remote_count <= REMOTE_PEERS_PER_HEARTBEAT

    def _apply_heartbeat(self, peer: Peer, heartbeat: Heartbeat) -> None:
        peer.incarnation = heartbeat.incarnation
        peer.revision = heartbeat.revision
        peer.ready = heartbeat.ready
        if heartbeat.stopping:
            peer.left_incarnation = heartbeat.incarnation
        elif heartbeat.incarnation != peer.left_incarnation:
            peer.left_incarnation = None

    def _is_local(self, instance_id: str) -> bool:
        return self.peers[instance_id].data_centre == self._data_centre
