"""Know the live instances from what they tell each other."""

from math import ceil
from random import Random

from geraniumlead.beats import BeatRotation
from geraniumlead.peering.known_peer import KnownPeer
from geraniumlead.peering.messages import Farewell, Hello, PeerContact
from geraniumlead.peering.peer_letter import SEED_PREFIX, PeerLetter

BEAT_MS = 1_000.0
"""Time between two hellos to a peer: a hello is some 150 bytes, so six peers cost 1 KB/s."""

FIRST_BEAT_MS = 300.0
"""Time between two hellos to a seed while no peer is known: all instances may have just
started together, and a message to one that does not listen yet is lost."""

LIVE_MS = 3_200.0
"""Silence after which a peer counts as gone: three hellos, of which two may be lost."""

FORGET_MS = 30_000.0
"""Silence after which a peer is written to no more; one that returns writes first."""

HOLD_COUNT_MS = 20_000.0
"""Time for which the highest count of instances is kept: two windows of the fleet's limits.

Failure: instances are cut off from each other. Each side sees fewer, and with limits divided
by what it sees both sides together would exceed them.
"""

START_COUNT = 8
"""Count assumed until peers have had time to be heard; today's users have 6 or 7 instances."""

START_MS = 4_000.0
"""Time after a start in which START_COUNT holds; the seeds may be stale for 3 s."""

MOST_TOLD = 40
"""Peers that are named in one hello to a new peer."""

GOSSIP_FROM_PEERS = 20
GOSSIP_TOLD = 4
"""Peers that are named in each hello of a fleet with more than GOSSIP_FROM_PEERS: one that
starts later than others is known to all within seconds, for some 150 bytes a hello."""

BEAT_PEERS = 40
"""Peers that one beat goes to: all of them at today's sizes. In larger fleets the beats go
round, and silence is judged by the length of a round."""


class PeerDirectory:
    """Find peers from seeds and from each other, and say which of them live.

    Every instance says hello to the seeds and to everyone it knows, once a second, and names
    those whom it knows to a peer that is new. Nothing is shared or voted on: a wrong view
    only makes this instance ask for less than it may.
    """

    __slots__ = (
        "_beat_ms",
        "_beats",
        "_contact",
        "_counts",
        "_incarnation",
        "_random",
        "_seeds",
        "_seeds_told_ms",
        "_started_ms",
        "peers",
    )

    def __init__(
        self,
        contact: PeerContact,
        seeds: tuple[str, ...],
        incarnation: int,
        random: Random,
        now_ms: float,
    ) -> None:
        self._contact = contact
        self._seeds = tuple(address for address in seeds if address != contact.address)
        self._incarnation = incarnation
        self._beat_ms = now_ms
        self._seeds_told_ms = float("-inf")
        self._started_ms = now_ms
        self._counts: list[tuple[float, int]] = []
        self._beats = BeatRotation(BEAT_PEERS)
        self._random = random
        self.peers: dict[str, KnownPeer] = {}

    @property
    def own_id(self) -> str:
        """Return the name of this instance."""
        return self._contact.instance_id

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take over changed seeds."""
        self._seeds = tuple(address for address in seeds if address != self._contact.address)

    def is_live(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a peer was heard lately and did not say farewell."""
        if peer.incarnation == peer.left_incarnation:
            return False
        return now_ms - peer.heard_ms < self._live_ms()

    def is_reached(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a live peer lately had a message of this instance.

        Failure: messages pass in one direction only. The peer is heard each second, but what
        is passed to it is lost, and every request would wait for its word in vain.
        """
        is_echoed = now_ms - peer.echoed_ms < self._live_ms() + BEAT_MS
        return is_echoed and peer.silent_ms is None and self.is_live(peer, now_ms)

    def live(self, now_ms: float) -> list[KnownPeer]:
        """Return the live peers."""
        return [peer for peer in self.peers.values() if self.is_live(peer, now_ms)]

    def count(self, now_ms: float) -> int:
        """Return how many instances may be sharing the limits of the fleet."""
        live_ms = self._live_ms()
        heard = 1 + sum(1 for peer in self.peers.values() if now_ms - peer.heard_ms < live_ms)
        while self._counts and (
            self._counts[0][0] < now_ms - HOLD_COUNT_MS or self._counts[0][1] <= heard
        ):
            self._counts.pop(0)
        while self._counts and self._counts[-1][1] <= heard:
            self._counts.pop()
        self._counts.append((now_ms, heard))
        most = max(count for _, count in self._counts)
        return max(most, START_COUNT) if now_ms - self._started_ms < START_MS else most

    def next_wake_ms(self) -> float:
        """Return when ``take_letters`` has something to do."""
        return self._beat_ms

    def take_letters(self, version: int, is_ready: bool, now_ms: float) -> list[PeerLetter]:
        """Return the hellos that are due."""
        if now_ms < self._beat_ms:
            return []
        has_peers = any(self.is_live(peer, now_ms) for peer in self.peers.values())
        self._beat_ms = now_ms + (BEAT_MS if has_peers else FIRST_BEAT_MS)
        letters = []
        self._forget_silent(now_ms)
        self._beats.update(self.peers)
        for instance_id in self._beats.take(self._random):
            letters.append(self.greet(self.peers[instance_id], version, is_ready, now_ms))
        reached = {peer.contact.address for peer in self.peers.values()}
        for address in self._seeds:
            if address not in reached:
                hello = self._hello(None, version, is_ready, now_ms)
                letters.append(PeerLetter(f"{SEED_PREFIX}{address}", address, hello))
        return letters

    def greet(self, peer: KnownPeer, version: int, is_ready: bool, now_ms: float) -> PeerLetter:
        """Return a hello to one peer."""
        hello = self._hello(peer, version, is_ready, now_ms)
        peer.told_ms = now_ms
        return PeerLetter(peer.contact.instance_id, peer.contact.address, hello)

    def hear(self, hello: Hello, now_ms: float) -> list[KnownPeer]:
        """Take in a hello; return the peers that are to be greeted at once."""
        instance_id = hello.contact.instance_id
        if instance_id == self._contact.instance_id:
            return []
        greeted = []
        peer = self.peers.get(instance_id)
        if peer is None or peer.heard_ms == float("-inf"):
            peer = self._learn(hello.contact, now_ms)
            greeted.append(peer)
        peer.contact = hello.contact
        peer.heard_ms = now_ms
        peer.incarnation = hello.incarnation
        peer.version = hello.version
        peer.is_ready = hello.is_ready
        peer.clock_ms = hello.sent_ms
        if hello.echo_ms is not None:
            peer.note_way((now_ms - hello.echo_ms - hello.held_ms) / 2.0)
            peer.echoed_ms = hello.echo_ms
            if peer.silent_ms is not None and hello.echo_ms > peer.silent_ms:
                peer.silent_ms = None
        for contact in hello.known:
            is_self = contact.instance_id == self._contact.instance_id
            if not is_self and contact.instance_id not in self.peers:
                greeted.append(self._learn(contact, now_ms))
        return greeted

    def take_farewell(self, sender_id: str, farewell: Farewell) -> None:
        """Note that a peer takes no new work."""
        peer = self.peers.get(sender_id)
        if peer is not None:
            peer.left_incarnation = farewell.incarnation
            peer.is_ready = False

    def farewells(self, now_ms: float) -> list[PeerLetter]:
        """Return a farewell to every live peer."""
        message = Farewell(self._incarnation)
        return [
            PeerLetter(peer.contact.instance_id, peer.contact.address, message)
            for peer in self.live(now_ms)
        ]

    def _sample_known(self, most: int, now_ms: float) -> tuple[PeerContact, ...]:
        contacts = [found.contact for found in self.live(now_ms)]
        return tuple(self._random.sample(contacts, min(most, len(contacts))))

    def _live_ms(self) -> float:
        """Return the silence after which a peer is gone: three rounds of beats."""
        return LIVE_MS * max(1, ceil(len(self.peers) / BEAT_PEERS))

    def _forget_silent(self, now_ms: float) -> None:
        forget_ms = max(FORGET_MS, 2.0 * self._live_ms())
        for instance_id, peer in list(self.peers.items()):
            if now_ms - max(peer.heard_ms, peer.mentioned_ms) > forget_ms:
                del self.peers[instance_id]

    def _learn(self, contact: PeerContact, now_ms: float) -> KnownPeer:
        peer = self.peers.get(contact.instance_id)
        if peer is None:
            peer = self.peers[contact.instance_id] = KnownPeer(contact)
        peer.mentioned_ms = now_ms
        return peer

    def _hello(self, peer: KnownPeer | None, version: int, is_ready: bool, now_ms: float) -> Hello:
        known: tuple[PeerContact, ...] = ()
        if peer is None or peer.told_ms == float("-inf"):
            known = self._sample_known(MOST_TOLD, now_ms)
        elif len(self.peers) >= GOSSIP_FROM_PEERS:
            known = self._sample_known(GOSSIP_TOLD, now_ms)
        clock_ms = None if peer is None else peer.clock_ms
        held_ms = 0.0 if clock_ms is None else now_ms - peer.heard_ms
        return Hello(
            self._contact,
            self._incarnation,
            version,
            is_ready,
            now_ms,
            clock_ms,
            held_ms,
            known,
        )
