from collections.abc import Iterable, Mapping
from itertools import islice
from random import Random

from geraniumlead.forwarding.open_request import OpenRequest
from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.peering import KnownPeer, PeerDirectory
from geraniumlead.settings.forwarding_settings import ForwardingSettings

MAX_AGGREGATORS = 3
"""Maximum number of aggregators of a shard group: few enough to keep their connections warm and not
to run into each pause of an upstream separately, and enough to share the load and to tolerate
failures."""

INSTANCES_PER_AGGREGATOR = 3
"""Instances of a data centre per aggregator of a shard group. With as many aggregators as
instances, all would connect to all upstreams, and each connection would be used too seldom to stay
open."""

MAX_ACK_GOAL_SHARE = 0.6
"""Share of the goal within which a peer's acknowledgement has to be due: if it never comes, the
upstreams are queried from here, which takes the rest. The tightest goal (150 ms, with the peer 20
ms away) needs 0.53."""

MIN_GOAL_LEFT_MS = 10.0
"""Time below which a peer cannot reply before the goal; upstreams take longer."""

MAX_OPEN_DELEGATIONS = 200
"""Maximum number of open requests that this instance delegates to one peer; more would only wait in
its event loop."""

MAX_HELLO_AGE_MS = 2_000.0
"""Age up to which a hello shows whether its sender is ready and has a configuration. In a large
fleet hellos are older than that; there, a peer that is not ready declines at once."""

DECLINED_BACKOFF_MS = 1_000.0
"""Time for which nothing is delegated to a peer that declined."""

NEW_PEER_BACKOFF_MS = 1_000.0
"""Time for which nothing is delegated to a peer that has just started. It opens its connections to
upstreams then, and its acknowledgement came too late after every second start."""

REFRESH_INTERVAL_MS = 250.0
"""Interval at which the peers of each data centre are collected: with thousands of peers it takes
milliseconds."""


class AggregatorChooser:
    """Selects, for each shard group, the peer that queries it in a data centre.

    Load pattern: each of hundreds of instances gets a query over a hundred shards every few
    seconds. Whichever instance gets it, the same few aggregators query a group of shards, so that
    their connections are warm. They are the first instances of the data centre when ranked for the
    group; of these the one with the fewest open delegations is selected. Different views of which
    instances are live only lead to fewer warm connections.

    It also decides whether a request may be delegated to a peer at all.
    """

    __slots__ = ("_directory", "_peers", "_random", "_rankings", "_refreshed_ms", "_settings")

    def __init__(
        self, settings: ForwardingSettings, directory: PeerDirectory, random: Random
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._random = random
        self._peers: dict[str, dict[str, KnownPeer]] = {}
        self._rankings: dict[tuple[str, str], list[str]] = {}
        self._refreshed_ms = float("-inf")

    def find(
        self, group_name: str, data_centre: str, open_request: OpenRequest, now_ms: float
    ) -> KnownPeer | None:
        """Return the peer for a shard group; None if this instance is one of its aggregators."""
        peers = self._peers_in(data_centre, now_ms)
        ranked = self._rank(group_name, data_centre, peers)
        count = max(1, min(MAX_AGGREGATORS, len(ranked) // INSTANCES_PER_AGGREGATOR))
        own_id = self._settings.instance_id
        able = (
            name
            for name in ranked
            if name == own_id or self.can_serve(peers[name], open_request, now_ms)
        )
        aggregators = list(islice(able, count))
        if own_id in aggregators:
            return None
        return min((peers[name] for name in aggregators), key=self.load_sort_key, default=None)

    def _rank(self, group_name: str, data_centre: str, peers: Mapping[str, KnownPeer]) -> list[str]:
        """Return the instances of a data centre, ranked for a shard group."""
        ranked = self._rankings.get((data_centre, group_name))
        if ranked is None:
            names = list(peers)
            if data_centre == self._settings.data_centre:
                names.append(self._settings.instance_id)
            ranked = rank_by_rendezvous(group_name, names)
            self._rankings[data_centre, group_name] = ranked
        return ranked

    def _peers_in(self, data_centre: str, now_ms: float) -> dict[str, KnownPeer]:
        """Return the peers of a data centre to which requests may be delegated, by id."""
        if now_ms - self._refreshed_ms >= REFRESH_INTERVAL_MS:
            self._refreshed_ms = now_ms
            self._peers = {}
            self._rankings.clear()
            for peer in self._directory.peers.values():
                if self._directory.may_be_reachable(peer, now_ms):
                    contact = peer.contact
                    self._peers.setdefault(contact.data_centre, {})[contact.instance_id] = peer
            for peers in self._peers.values():
                _assume_delays(peers.values())
        return self._peers.get(data_centre, {})

    def can_serve(self, peer: KnownPeer, open_request: OpenRequest, now_ms: float) -> bool:
        """Return whether a peer can probably serve a request now."""
        is_fresh = now_ms - peer.latest_hello_ms < MAX_HELLO_AGE_MS
        serves = peer.is_ready and peer.version >= open_request.configuration.version
        return (
            (serves or not is_fresh)
            and now_ms - peer.declined_ms >= DECLINED_BACKOFF_MS
            and now_ms - peer.started_ms >= NEW_PEER_BACKOFF_MS
            and peer.open_delegations < MAX_OPEN_DELEGATIONS
            and self._directory.may_be_reachable(peer, now_ms)
            and self._is_silence_noticed_in_time(peer, open_request.goal_ms - now_ms)
            and _can_reply_before_end(peer, open_request, now_ms)
        )

    def _is_silence_noticed_in_time(self, peer: KnownPeer, goal_left_ms: float) -> bool:
        """Return whether a missing acknowledgement is noticed while the goal can be met."""
        if goal_left_ms < MIN_GOAL_LEFT_MS:
            return True
        return peer.acknowledgement_timeout_ms <= MAX_ACK_GOAL_SHARE * goal_left_ms

    def load_sort_key(self, peer: KnownPeer) -> tuple[int, float]:
        """Return the load of a peer as a sort key, with ties broken at random."""
        return peer.open_delegations, self._random.random()


def _can_reply_before_end(peer: KnownPeer, open_request: OpenRequest, now_ms: float) -> bool:
    """Return whether a peer's reply can be here before the end of a request."""
    way_ms = 2.0 * peer.estimated_delay_ms
    return open_request.deadline.left_ms(now_ms) - way_ms >= MIN_GOAL_LEFT_MS


def _assume_delays(peers: Iterable[KnownPeer]) -> None:
    """Assume for peers without a known network delay the shortest one of their data centre."""
    one_way_ms = min(
        (peer.one_way_delay_ms for peer in peers if peer.one_way_delay_ms is not None), default=None
    )
    for peer in peers:
        peer.assumed_delay_ms = one_way_ms
