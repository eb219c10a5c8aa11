"""Know the live instances from what they tell each other."""

from collections.abc import Collection, Mapping
from heapq import nlargest
from random import Random

from geraniumlead.peering.beat_rings import BEAT_PEERS, BeatRings
from geraniumlead.peering.hello_names import HelloNames
from geraniumlead.peering.highest_count import HighestCount
from geraniumlead.peering.known_peer import KnownPeer
from geraniumlead.peering.messages import Farewell, Hello, PeerContact
from geraniumlead.peering.peer_letter import SEED_PREFIX, PeerLetter

BEAT_MS = 1_000.0
"""Time between two beats; each is a hello of some 150 bytes to a few peers."""

FIRST_BEAT_MS = 300.0
"""Time between two hellos to a seed while no peer is known: all instances may have just
started together, and a message to one that does not listen yet is lost."""

FORGET_MS = 30_000.0
"""Silence after which a peer is written to no more; one that returns writes first."""

START_COUNT = 8
"""Count assumed until peers have had time to be heard; today's users have 6 or 7 instances."""

START_MS = 4_000.0
"""Time after a start in which START_COUNT holds; the seeds may be stale for 3 s."""

MOST_TOLD = 40
"""Peers that are told of a stop."""


class PeerDirectory:
    """Find peers from seeds and from each other, and say which of them live.

    Every instance says hello to the seeds and to some of those whom it knows, once a second.
    Seeds name others to one that has just started, and joiners are passed on as rumours.
    Nothing is shared or voted on: a wrong view only makes this instance ask for less than it
    may, since whoever is known and not proven dead counts.

    Load pattern: tens to thousands of instances, some of which start, end or are cut off at any
    time, and a platform that lists none of them.
    """

    __slots__ = (
        "_beat_ms",
        "_contact",
        "_highest_count",
        "_incarnation",
        "_names",
        "_random",
        "_rings",
        "_seeds",
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
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self._contact = contact
        self._seeds = tuple(address for address in seeds if address != contact.address)
        self._incarnation = incarnation
        self._beat_ms = now_ms
        self._started_ms = now_ms
        self._highest_count = HighestCount()
        self._rings = BeatRings(contact, regions or {})
        self._names = HelloNames(random)
        self._random = random
        self.peers: dict[str, KnownPeer] = {}

    @property
    def own_contact(self) -> PeerContact:
        """Return how others reach this instance."""
        return self._contact

    @property
    def own_id(self) -> str:
        """Return the name of this instance."""
        return self._contact.instance_id

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take over changed seeds."""
        self._seeds = tuple(address for address in seeds if address != self._contact.address)

    def is_live(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a peer was lately heard, here or by another, and did not say farewell."""
        return not peer.has_left and self._may_live(peer, now_ms)

    def is_reached(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a live peer lately had a message of this instance.

        Failure: messages pass in one direction only. The peer is heard each second, but what
        is passed to it is lost, and every request would wait for its word in vain.
        """
        is_echoed = (
            now_ms - peer.echoed_ms < self._rings.live_ms(peer.contact.instance_id) + BEAT_MS
        )
        return is_echoed and peer.silent_ms is None and self.is_live(peer, now_ms)

    def reached(self, now_ms: float) -> list[KnownPeer]:
        """Return the peers that messages of this instance lately reached."""
        return [peer for peer in self.peers.values() if self.is_reached(peer, now_ms)]

    def may_be_asked(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a peer is reached, or nothing speaks against it that was never met.

        Load pattern: a fleet of hundreds has just started, and a beat reaches six. With only
        those asked whom it has met, each instance would pass the same work to others.
        """
        if peer.echoed_ms > float("-inf"):
            return self.is_reached(peer, now_ms)
        return peer.silent_ms is None and self.is_live(peer, now_ms)

    def note_response(self, instance_id: str) -> None:
        """Note that a peer answered a request of this instance.

        Failure: a slow peer's word came after its query had ended. In a fleet of hundreds its
        next hello is half a minute away, and until then its blocks went to others, who had to
        open connections for them.
        """
        peer = self.peers.get(instance_id)
        if peer is not None:
            peer.silent_ms = None

    def introduce(self, contact: PeerContact, now_ms: float) -> None:
        """Take in a peer that asks for something before its first hello."""
        self._learn(contact, now_ms)

    def live(self, now_ms: float) -> list[KnownPeer]:
        """Return the live peers."""
        return [peer for peer in self.peers.values() if self.is_live(peer, now_ms)]

    def count(self, now_ms: float) -> int:
        """Return how many instances may be sharing the limits of the fleet."""
        heard = 1 + sum(1 for peer in self.peers.values() if self._may_live(peer, now_ms))
        most = self._highest_count.note(heard, now_ms)
        if not self._is_starting(now_ms):
            return most
        told = max((peer.count for peer in self.peers.values()), default=0)
        return max(most, told, START_COUNT)

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
        self._rings.update(self.peers.values())
        for instance_id in self._rings.take(self._random):
            letters.append(self.greet(self.peers[instance_id], version, is_ready, now_ms))
        reached = {peer.contact.address for peer in self.peers.values()}
        for address in self._seeds_to_ask(reached, now_ms):
            hello = self._hello(None, version, is_ready, now_ms)
            letters.append(PeerLetter(f"{SEED_PREFIX}{address}", address, hello))
        return letters

    def greet(self, peer: KnownPeer, version: int, is_ready: bool, now_ms: float) -> PeerLetter:
        """Return a hello to one peer."""
        hello = self._hello(peer, version, is_ready, now_ms)
        peer.told_ms = now_ms
        peer.asks_names = False
        return PeerLetter(peer.contact.instance_id, peer.contact.address, hello)

    def hear(self, hello: Hello, now_ms: float) -> list[KnownPeer]:
        """Take in a hello; return the peers that are to be greeted at once."""
        instance_id = hello.contact.instance_id
        if instance_id == self._contact.instance_id:
            return []
        greeted = []
        peer = self.peers.get(instance_id)
        if peer is None or peer.heard_ms == float("-inf") or hello.asks_names:
            peer = self._learn(hello.contact, now_ms)
            peer.asks_names = hello.asks_names
            greeted.append(peer)
        peer.contact = hello.contact
        peer.heard_ms = now_ms
        if peer.incarnation != hello.incarnation:
            is_restart = peer.incarnation != 0
            peer.incarnation = hello.incarnation
            peer.began_ms = now_ms if is_restart else now_ms - hello.running_ms
            peer.clock_gap_ms = float("inf")
        peer.note_clock(hello.sent_ms, now_ms)
        peer.version = hello.version
        peer.is_ready = hello.is_ready
        peer.clock_ms = hello.sent_ms
        peer.count = hello.count
        if hello.echo_ms is not None:
            peer.note_way((now_ms - hello.echo_ms - hello.held_ms) / 2.0)
            peer.echoed_ms = hello.echo_ms
            if peer.silent_ms is not None and hello.echo_ms > peer.silent_ms:
                peer.silent_ms = None
        for contact in hello.known:
            if contact.instance_id == self._contact.instance_id:
                continue
            is_new = contact.instance_id not in self.peers
            found = self._learn(contact, now_ms)
            if is_new and not self._is_large:
                greeted.append(found)
        return greeted

    def take_farewell(self, sender_id: str, farewell: Farewell) -> None:
        """Note that a peer takes no new work."""
        peer = self.peers.get(sender_id)
        if peer is not None:
            peer.left_incarnation = farewell.incarnation
            peer.is_ready = False

    def farewells(self, now_ms: float) -> list[PeerLetter]:
        """Return a farewell to the live peers, in a large fleet to those heard last.

        The others learn it when they ask for something and are declined.
        """
        message = Farewell(self._incarnation)
        told = nlargest(MOST_TOLD, self.live(now_ms), key=lambda peer: peer.echoed_ms)
        return [
            PeerLetter(peer.contact.instance_id, peer.contact.address, message) for peer in told
        ]

    @property
    def _is_large(self) -> bool:
        """Return whether a beat does not go to all peers."""
        return len(self.peers) > BEAT_PEERS

    def _seeds_to_ask(self, reached: Collection[str], now_ms: float) -> list[str]:
        """Return the seeds that are not known yet, and in a large fleet one to ask for names.

        Load pattern: a whole fleet starts at once, and all of it asks the same three seeds.
        """
        unknown = [address for address in self._seeds if address not in reached]
        if not unknown and self._seeds and self._is_large and self._is_starting(now_ms):
            return [self._random.choice(self._seeds)]
        return unknown

    def _is_starting(self, now_ms: float) -> bool:
        return now_ms - self._started_ms < START_MS

    def _is_heard(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a peer was lately heard here; others are named as rumours only.

        Failure: two instances that name a dead one to each other would keep it alive for ever.
        Rumours end after a number of hellos.
        """
        return not peer.has_left and now_ms - peer.heard_ms < self._rings.live_ms(
            peer.contact.instance_id
        )

    def _may_live(self, peer: KnownPeer, now_ms: float) -> bool:
        """Return whether a peer was heard, or named by one who heard it."""
        return now_ms - max(peer.heard_ms, peer.mentioned_ms) < self._rings.live_ms(
            peer.contact.instance_id
        )

    def _forget_silent(self, now_ms: float) -> None:
        for instance_id, peer in list(self.peers.items()):
            forget_ms = max(FORGET_MS, 2.0 * self._rings.live_ms(peer.contact.instance_id))
            if now_ms - max(peer.heard_ms, peer.mentioned_ms) > forget_ms:
                del self.peers[instance_id]
                self._names.forget(instance_id)

    def _learn(self, contact: PeerContact, now_ms: float) -> KnownPeer:
        peer = self.peers.get(contact.instance_id)
        if peer is None:
            peer = self.peers[contact.instance_id] = KnownPeer(contact)
            self._names.add(contact.instance_id, len(self.peers))
        peer.mentioned_ms = now_ms
        return peer

    def _names_for(self, peer: KnownPeer | None, now_ms: float) -> tuple[PeerContact, ...]:
        """Return the peers that a hello names."""
        is_first = peer is not None and peer.told_ms == float("-inf")
        if (is_first and not self._is_large) or (peer is not None and peer.asks_names):
            heard = [found for found in self.peers.values() if self._is_heard(found, now_ms)]
            return self._names.sample(heard)
        if not self._is_large:
            return ()
        chance = self._random.choice(list(self.peers.values()))
        return self._names.take(self.peers, chance if self._is_heard(chance, now_ms) else None)

    def _hello(self, peer: KnownPeer | None, version: int, is_ready: bool, now_ms: float) -> Hello:
        known = self._names_for(peer, now_ms)
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
            asks_names=peer is None,
            count=self._highest_count.latest,
            running_ms=now_ms - self._started_ms,
        )
