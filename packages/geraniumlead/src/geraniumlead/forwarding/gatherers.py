"""Choose the peer that asks a block of shards, and say whom anything may be asked of."""

from collections.abc import Iterable, Mapping
from itertools import islice
from random import Random

from geraniumlead.forwarding.open_request import OpenRequest
from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.peering import KnownPeer, PeerDirectory
from geraniumlead.settings.forwarding_settings import ForwardingSettings

GATHERERS = 3
"""Peers that ask the same block of shards: few enough to keep their connections warm and to see
pauses that the others would each find out, and enough to share the load and to fail."""

INSTANCES_PER_GATHERER = 3
"""Instances of a data centre for each gatherer of a block. With as many gatherers as instances
all would connect to all upstreams, and each connection would be too seldom used to stay open."""

MOST_TAKEN_GOAL_SHARE = 0.6
"""Part of the goal in which a peer's word has to be due: if it never comes, the upstreams are
asked from here, which takes the rest. The tightest of today's goals needs 0.53 (150 ms, 20 ms
away)."""

LEAST_GOAL_LEFT_MS = 10.0
"""Time below which a peer can't bring anything before the goal; upstreams work for longer."""

MOST_OPEN = 200
"""Requests that one peer may have of this instance; more would only wait in its loop."""

FRESH_HELLO_MS = 2_000.0
"""Age up to which a hello tells whether its sender is ready and has a configuration. In a large
fleet hellos are older than that, and a peer that is not ready declines at once."""

DECLINED_MS = 1_000.0
"""Time for which a peer that declined is not asked again."""

NEW_PEER_MS = 1_000.0
"""Time for which a peer that has just started is asked for nothing: it opens its connections to
upstreams then, and its word came too late after every second start."""

LOOK_MS = 250.0
"""Time between two looks at all peers: in a fleet of thousands one takes milliseconds."""


class Gatherers:
    """Rank the instances of each data centre for each block, and choose among the first.

    Load pattern: hundreds of instances each see a query each few seconds, over a hundred shards.
    Whoever gets it, the same few ask a block of them, so that their connections are warm. A
    different view of who lives only costs warmth.
    """

    __slots__ = ("_directory", "_looked_ms", "_near", "_random", "_ranked", "_settings")

    def __init__(
        self, settings: ForwardingSettings, directory: PeerDirectory, random: Random
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._random = random
        self._near: dict[str, dict[str, KnownPeer]] = {}
        self._ranked: dict[tuple[str, str], list[str]] = {}
        self._looked_ms = float("-inf")

    def find(
        self, block: str, data_centre: str, opened: OpenRequest, now_ms: float
    ) -> KnownPeer | None:
        """Return the peer for a block; None when this instance is one of its gatherers itself."""
        peers = self._peers_near(data_centre, now_ms)
        ranked = self._rank(block, data_centre, peers)
        count = max(1, min(GATHERERS, len(ranked) // INSTANCES_PER_GATHERER))
        own_id = self._settings.instance_id
        able = (
            name for name in ranked if name == own_id or self.is_able(peers[name], opened, now_ms)
        )
        gatherers = list(islice(able, count))
        if own_id in gatherers:
            return None
        return min((peers[name] for name in gatherers), key=self.load_of, default=None)

    def _rank(self, block: str, data_centre: str, peers: Mapping[str, KnownPeer]) -> list[str]:
        """Return the instances of a data centre, first those that should gather a block."""
        ranked = self._ranked.get((data_centre, block))
        if ranked is None:
            names = list(peers)
            if data_centre == self._settings.data_centre:
                names.append(self._settings.instance_id)
            ranked = rank_by_rendezvous(block, names)
            self._ranked[data_centre, block] = ranked
        return ranked

    def _peers_near(self, data_centre: str, now_ms: float) -> dict[str, KnownPeer]:
        """Return the peers of a data centre that may be asked, by name."""
        if now_ms - self._looked_ms >= LOOK_MS:
            self._looked_ms = now_ms
            self._near = {}
            self._ranked.clear()
            for peer in self._directory.peers.values():
                if self._directory.may_be_reachable(peer, now_ms):
                    contact = peer.contact
                    self._near.setdefault(contact.data_centre, {})[contact.instance_id] = peer
            for peers in self._near.values():
                _assume_ways(peers.values())
        return self._near.get(data_centre, {})

    def is_able(self, peer: KnownPeer, opened: OpenRequest, now_ms: float) -> bool:
        """Return whether a peer would serve a request now, as far as it is known."""
        is_fresh = now_ms - peer.heard_ms < FRESH_HELLO_MS
        serves = peer.is_ready and peer.version >= opened.configuration.version
        return (
            (serves or not is_fresh)
            and now_ms - peer.declined_ms >= DECLINED_MS
            and now_ms - peer.started_ms >= NEW_PEER_MS
            and peer.open_delegations < MOST_OPEN
            and self._directory.may_be_reachable(peer, now_ms)
            and self._is_near_enough(peer, opened.goal_ms - now_ms)
        )

    def _is_near_enough(self, peer: KnownPeer, goal_left_ms: float) -> bool:
        """Return whether a peer that stays silent is noticed while the goal can be met."""
        if goal_left_ms < LEAST_GOAL_LEFT_MS:
            return True
        return peer.acknowledgement_timeout_ms <= MOST_TAKEN_GOAL_SHARE * goal_left_ms

    def load_of(self, peer: KnownPeer) -> tuple[int, float]:
        """Return what to compare peers by; equals share the load."""
        return peer.open_delegations, self._random.random()


def _assume_ways(peers: Iterable[KnownPeer]) -> None:
    """Give peers whose way is unknown the shortest of the others of their data centre."""
    way_ms = min(
        (peer.one_way_delay_ms for peer in peers if peer.one_way_delay_ms is not None), default=None
    )
    for peer in peers:
        peer.assumed_delay_ms = way_ms
