from collections.abc import Collection, Mapping
from heapq import nlargest
from random import Random

from geraniumlead.peering.contact_selector import ContactSelector
from geraniumlead.peering.envelope import Envelope
from geraniumlead.peering.heartbeat_rings import PEERS_PER_HEARTBEAT, HeartbeatRings
from geraniumlead.peering.highest_count import HighestCount
from geraniumlead.peering.known_peer import KnownPeer
from geraniumlead.peering.messages import Goodbye, Hello, PeerContact, PeeringMessage
from geraniumlead.peering.outgoing_peer_message import SEED_PREFIX, OutgoingPeerMessage
from geraniumlead.peering.process_id import UNKNOWN_INCARNATION, ProcessId
from geraniumlead.peering.process_match import ProcessMatch

HEARTBEAT_INTERVAL_MS = 1_000.0
"""Time between two heartbeats; each is a hello of some 150 bytes to a few peers."""

SEED_HELLO_INTERVAL_MS = 300.0
"""Time between two hellos to a seed while no live peer is known. All instances may have just
started together, and a message to one that does not listen yet is lost."""

FORGET_AFTER_MS = 30_000.0
"""Time without a message after which a peer gets no more hellos; one that returns sends first."""

ASSUMED_START_INSTANCES = 8
"""Smallest number of instances assumed until hellos of the peers have had time to arrive;
typical fleets have 6 or 7 instances."""

STARTUP_MS = 4_000.0
"""Time after a start in which ASSUMED_START_INSTANCES applies; the seeds may be stale for 3 s."""

INFORMED_AFTER_MS = 50.0
"""Longest time for which an instance that has just started waits for the first hello of a peer. One
of its region replies within some milliseconds. When a whole fleet starts, nobody can reply, and
callers wait for each instance."""

MAX_GOODBYES = 40
"""Largest number of peers that get a goodbye."""


class PeerDirectory:
    """The instances that this one has discovered from seeds and peers, and which of them are live.

    Every instance sends a hello to the seeds and to some of its known peers once a second.
    Seeds send the contacts of other instances to one that has just started, and new instances
    are announced by gossip. There is no shared state and no consensus: a wrong view only makes
    this instance use less than its share of the limits, since every known peer counts until it
    has timed out.

    Load pattern: tens to thousands of instances, some of which start, stop or are isolated from
    others at any time, and a platform that lists none of them.
    """

    __slots__ = (
        "_contact",
        "_contact_selector",
        "_has_heard_peer",
        "_highest_count",
        "_incarnation",
        "_next_heartbeat_ms",
        "_random",
        "_replaced",
        "_rings",
        "_seeds",
        "_started_ms",
        "crash_digest",
        "peers",
    )

    def __init__(
        self,
        contact: PeerContact,
        seeds: tuple[str, ...],
        incarnation: int,
        random: Random,
        now_ms: float,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self._contact = contact
        self._seeds = tuple(address for address in seeds if address != contact.address)
        self._incarnation = incarnation
        self._next_heartbeat_ms = now_ms
        self._started_ms = now_ms
        self._highest_count = HighestCount()
        self._rings = HeartbeatRings(contact, regions or {})
        self._contact_selector = ContactSelector(random)
        self._has_heard_peer = False
        self._random = random
        self._replaced: list[ProcessId] = []
        self.peers: dict[str, KnownPeer] = {}
        self.crash_digest = 0

    @property
    def own_contact(self) -> PeerContact:
        """Return the contact under which others reach this instance."""
        return self._contact

    @property
    def own_id(self) -> str:
        """Return the name of this instance."""
        return self._contact.instance_id

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this process."""
        return self._incarnation

    def match_processes(
        self, sender_id: str, message: PeeringMessage, envelope: Envelope, now_ms: float
    ) -> ProcessMatch:
        """Return between which processes a message was sent; note a new process of its sender.

        A process is new until another one has replaced it. A message to an earlier process of this
        instance may itself be of an earlier one of its sender, so it replaces none.

        Failure: the first message of a process comes later than that of its successor, which is
        then taken for the earlier one. It proves that it runs by the echo of a later hello.
        """
        is_for_earlier = envelope.receiver not in (UNKNOWN_INCARNATION, self._incarnation)
        peer = self.peers.get(sender_id)
        incarnation = _sender_incarnation(message, envelope)
        match = ProcessMatch.FOR_EARLIER if is_for_earlier else ProcessMatch.PRESENT
        if peer is None or incarnation in (UNKNOWN_INCARNATION, peer.incarnation):
            return match
        if is_for_earlier and peer.incarnation != UNKNOWN_INCARNATION:
            return ProcessMatch.FROM_EARLIER
        is_earlier = incarnation in peer.earlier_incarnations
        if is_earlier and not _echoes_since(message, peer.replaced_ms):
            return ProcessMatch.FROM_EARLIER
        if not isinstance(message, Hello):
            self._record_process(peer, incarnation, now_ms)
        return match

    def drain_replaced(self) -> list[ProcessId]:
        """Return the processes of peers that others have replaced, and clear the list."""
        replaced, self._replaced = self._replaced, []
        return replaced

    def should_introduce(self, instance_id: str, now_ms: float) -> bool:
        """Return whether a peer that takes this process for another one gets a hello now."""
        peer = self.peers.get(instance_id)
        return peer is not None and now_ms - peer.hello_sent_ms >= SEED_HELLO_INTERVAL_MS

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses of the seeds."""
        self._seeds = tuple(address for address in seeds if address != self._contact.address)

    def is_informed(self, now_ms: float) -> bool:
        """Return whether a peer has told this instance what the fleet knows.

        Failure: an instance that has just started is the first to be asked for what all others
        refuse. It doesn't wait long, since the whole fleet may be starting.
        """
        is_alone = not self._seeds
        return is_alone or self._has_heard_peer or now_ms >= self.informed_ms()

    def informed_ms(self) -> float:
        """Return when an instance stops waiting for the first hello of a peer."""
        return self._started_ms + INFORMED_AFTER_MS

    def is_live(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a peer sent a hello or was named lately, and has not sent a goodbye."""
        return not peer.has_left and self._may_be_alive(peer, now_ms)

    def is_reachable(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a live peer has lately received a message from this instance.

        Failure: messages get through in one direction only. Hellos of the peer arrive each second,
        but requests delegated to it are lost, and each would wait in vain for an acknowledgement.
        """
        is_echoed = (
            now_ms - peer.echoed_ms
            < self._rings.peer_timeout_ms(peer.contact.instance_id) + HEARTBEAT_INTERVAL_MS
        )
        return is_echoed and peer.silent_since_ms is None and self.is_live(peer, now_ms)

    def reachable(self, now_ms: float) -> list[KnownPeer]:
        """Return the peers that have lately received a message from this instance."""
        return [peer for peer in self.peers.values() if self.is_reachable(peer, now_ms)]

    def may_be_reachable(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a peer is reachable, or live and with no failure and no echo so far.

        Load pattern: a fleet of hundreds has just started, and a heartbeat goes to six peers.
        Using only peers that it has exchanged hellos with, each instance would delegate the
        same work to different peers.
        """
        if peer.echoed_ms > float("-inf"):
            return self.is_reachable(peer, now_ms)
        return peer.silent_since_ms is None and self.is_live(peer, now_ms)

    def record_response(self, instance_id: str, sent_ms: float | None, now_ms: float) -> None:
        """Record that a peer responded to a request of this instance at ``sent_ms`` of its clock.

        Failure: the acknowledgement of a slow peer arrived after its query had ended. In a fleet
        of hundreds its next hello is half a minute away, and until then its shard groups went to
        other peers, which had to open connections for them.
        """
        peer = self.peers.get(instance_id)
        if peer is not None:
            peer.silent_since_ms = None
            if sent_ms is not None:
                peer.clock_offset.record(sent_ms, now_ms)

    def add_contact(self, contact: PeerContact, now_ms: float) -> None:
        """Add a peer that sends a request before its first hello."""
        self._add_or_refresh(contact, now_ms)

    def live(self, now_ms: float) -> list[KnownPeer]:
        """Return the live peers."""
        return [peer for peer in self.peers.values() if self.is_live(peer, now_ms)]

    def live_by_region(self, now_ms: float) -> tuple[list[str], dict[str, list[str]]]:
        """Return the live peers of the own region, and those of each other region."""
        near_ids: list[str] = []
        far_ids: dict[str, list[str]] = {}
        for peer in self.live(now_ms):
            contact = peer.contact
            if self._rings.is_near(contact):
                near_ids.append(contact.instance_id)
            else:
                region = self._rings.region_of(contact)
                far_ids.setdefault(region, []).append(contact.instance_id)
        return near_ids, far_ids

    def instance_count(self, now_ms: float) -> int:
        """Return how many instances may be sharing the limits of the fleet, this one included."""
        live_count = 1 + sum(1 for peer in self.peers.values() if self._may_be_alive(peer, now_ms))
        highest = self._highest_count.record(live_count, now_ms)
        if not self._is_starting(now_ms):
            return highest
        reported = max((peer.count for peer in self.peers.values()), default=0)
        return max(highest, reported, ASSUMED_START_INSTANCES)

    def is_count_known(self, now_ms: float) -> bool:
        """Return whether ``instance_count`` can be relied on.

        Failure: a fleet of hundreds starts at once, and each instance divides a limit of the fleet
        by the few that it has heard of. One that no peer has answered may be cut off from all.
        """
        is_alone = not self._seeds
        return is_alone or (self._has_heard_peer and not self._is_starting(now_ms))

    def next_wake_ms(self) -> float:
        """Return when ``pop_due_hellos`` has to be called next."""
        return self._next_heartbeat_ms

    def pop_due_hellos(
        self, version: int, is_ready: bool, now_ms: float
    ) -> list[OutgoingPeerMessage]:
        """Return the hellos that are due, and schedule the next heartbeat."""
        if now_ms < self._next_heartbeat_ms:
            return []
        has_peers = any(self.is_live(peer, now_ms) for peer in self.peers.values())
        self._next_heartbeat_ms = now_ms + (
            HEARTBEAT_INTERVAL_MS if has_peers else SEED_HELLO_INTERVAL_MS
        )
        hellos = []
        self._forget_silent_peers(now_ms)
        self._rings.update(self.peers.values())
        for instance_id in self._rings.next_targets(self._random):
            hellos.append(self.create_hello(self.peers[instance_id], version, is_ready, now_ms))
        known_addresses = {peer.contact.address for peer in self.peers.values()}
        for address in self._seeds_to_contact(known_addresses, now_ms):
            hello = self._create_hello_message(None, version, is_ready, now_ms)
            hellos.append(OutgoingPeerMessage(f"{SEED_PREFIX}{address}", address, hello))
        return hellos

    def create_hello(
        self, peer: KnownPeer, version: int, is_ready: bool, now_ms: float
    ) -> OutgoingPeerMessage:
        """Return a hello to one peer, and record that it was sent."""
        hello = self._create_hello_message(peer, version, is_ready, now_ms)
        peer.hello_sent_ms = now_ms
        peer.asks_names = False
        return peer.address_message(hello)

    def handle_hello(self, hello: Hello, now_ms: float) -> list[KnownPeer]:
        """Update the directory from a hello; return the peers that need a hello at once."""
        instance_id = hello.contact.instance_id
        if instance_id == self._contact.instance_id:
            return []
        self._has_heard_peer = True
        peers_needing_hello = []
        peer = self.peers.get(instance_id)
        if peer is None or peer.latest_hello_ms == float("-inf") or hello.asks_names:
            peer = self._add_or_refresh(hello.contact, now_ms)
            peer.asks_names = hello.asks_names
            peers_needing_hello.append(peer)
        peer.contact = hello.contact
        peer.latest_hello_ms = now_ms
        if peer.incarnation != hello.incarnation:
            if peer.incarnation == UNKNOWN_INCARNATION:
                peer.started_ms = now_ms - hello.running_ms
            self._record_process(peer, hello.incarnation, now_ms)
        peer.clock_offset.record(hello.sent_ms, now_ms)
        peer.version = hello.version
        peer.is_ready = hello.is_ready
        peer.latest_clock_ms = hello.sent_ms
        peer.count = hello.count
        if hello.echo_ms is not None:
            peer.record_delay((now_ms - hello.echo_ms - hello.held_ms) / 2.0)
            peer.echoed_ms = hello.echo_ms
            if peer.silent_since_ms is not None and hello.echo_ms > peer.silent_since_ms:
                peer.silent_since_ms = None
        for contact in hello.known:
            if contact.instance_id == self._contact.instance_id:
                continue
            is_new = contact.instance_id not in self.peers
            known_peer = self._add_or_refresh(contact, now_ms)
            if is_new and not self._is_large_fleet:
                peers_needing_hello.append(known_peer)
        return peers_needing_hello

    def handle_goodbye(self, sender_id: str, goodbye: Goodbye) -> None:
        """Record that a peer takes no new work."""
        peer = self.peers.get(sender_id)
        if peer is not None:
            peer.left_incarnation = goodbye.incarnation
            peer.is_ready = False

    def create_goodbyes(self, now_ms: float) -> list[OutgoingPeerMessage]:
        """Return a goodbye to the live peers, in a large fleet to those that echoed a hello last.

        The others notice when they send a request and it is declined.
        """
        message = Goodbye(self._incarnation)
        receivers = nlargest(MAX_GOODBYES, self.live(now_ms), key=lambda peer: peer.echoed_ms)
        return [peer.address_message(message) for peer in receivers]

    @property
    def _is_large_fleet(self) -> bool:
        """Return whether there are more peers than one heartbeat goes to."""
        return len(self.peers) > PEERS_PER_HEARTBEAT

    def _seeds_to_contact(self, known_addresses: Collection[str], now_ms: float) -> list[str]:
        """Return the seeds that are not known yet.

        When all are known, a starting instance of a large fleet asks one of them for contacts.

        Load pattern: a whole fleet starts at once, and all instances ask the same three seeds.
        """
        unknown = [address for address in self._seeds if address not in known_addresses]
        if not unknown and self._seeds and self._is_large_fleet and self._is_starting(now_ms):
            return [self._random.choice(self._seeds)]
        return unknown

    def _record_process(self, peer: KnownPeer, incarnation: int, now_ms: float) -> None:
        if peer.incarnation != UNKNOWN_INCARNATION:
            self._replaced.append(ProcessId(peer.contact.instance_id, peer.incarnation))
        peer.record_process(incarnation, now_ms)

    def _is_starting(self, now_ms: float) -> bool:
        return now_ms - self._started_ms < STARTUP_MS

    def _sent_hello_recently(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a peer sent a hello to this instance lately, and no goodbye.

        Other peers are named by gossip only, which ends after a number of hellos.

        Failure: two instances that name a dead one to each other would keep it alive for ever.
        """
        return not peer.has_left and now_ms - peer.latest_hello_ms < self._rings.peer_timeout_ms(
            peer.contact.instance_id
        )

    def _may_be_alive(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a peer sent a hello lately, or was named by another."""
        return now_ms - max(peer.latest_hello_ms, peer.mentioned_ms) < self._rings.peer_timeout_ms(
            peer.contact.instance_id
        )

    def _forget_silent_peers(self, now_ms: float) -> None:
        for instance_id, peer in list(self.peers.items()):
            forget_ms = max(
                FORGET_AFTER_MS, 2.0 * self._rings.peer_timeout_ms(peer.contact.instance_id)
            )
            if now_ms - max(peer.latest_hello_ms, peer.mentioned_ms) > forget_ms:
                del self.peers[instance_id]
                self._contact_selector.forget(instance_id)

    def _add_or_refresh(self, contact: PeerContact, now_ms: float) -> KnownPeer:
        peer = self.peers.get(contact.instance_id)
        if peer is None:
            peer = self.peers[contact.instance_id] = KnownPeer(contact)
            self._contact_selector.add(contact.instance_id, len(self.peers))
        peer.mentioned_ms = now_ms
        return peer

    def _contacts_for(self, peer: KnownPeer | None, now_ms: float) -> tuple[PeerContact, ...]:
        """Return the contacts that a hello carries."""
        is_first = peer is not None and peer.hello_sent_ms == float("-inf")
        if (is_first and not self._is_large_fleet) or (peer is not None and peer.asks_names):
            peers = [
                found for found in self.peers.values() if self._sent_hello_recently(found, now_ms)
            ]
            return self._contact_selector.sample(peers)
        if not self._is_large_fleet:
            return ()
        random_peer = self._random.choice(list(self.peers.values()))
        return self._contact_selector.next_contacts(
            self.peers, random_peer if self._sent_hello_recently(random_peer, now_ms) else None
        )

    def _create_hello_message(
        self, peer: KnownPeer | None, version: int, is_ready: bool, now_ms: float
    ) -> Hello:
        known = self._contacts_for(peer, now_ms)
        clock_ms = None if peer is None else peer.latest_clock_ms
        held_ms = 0.0 if clock_ms is None else now_ms - peer.latest_hello_ms
        return Hello(
            self._contact,
            self._incarnation,
            version,
            is_ready,
            now_ms,
            clock_ms,
            held_ms,
            known,
            asks_names=peer is None,
            count=self._highest_count.latest,
            running_ms=now_ms - self._started_ms,
            crash_digest=self.crash_digest,
        )


def _sender_incarnation(message: PeeringMessage, envelope: Envelope) -> int:
    """Return the incarnation of a message's sender, as far as the message tells."""
    match message:
        case Hello(incarnation=incarnation) | Goodbye(incarnation=incarnation):
            return incarnation
    return envelope.sender


def _echoes_since(message: PeeringMessage, since_ms: float) -> bool:
    """Return whether a hello shows that its sender has received one sent later than a time."""
    match message:
        case Hello(echo_ms=float(echo_ms)):
            return echo_ms > since_ms
    return False
