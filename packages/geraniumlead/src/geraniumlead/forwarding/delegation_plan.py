"""Choose the peers that ask some of a query's shards."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice
from math import ceil
from random import Random

from geraniumlead.fleet import FleetView, UpstreamRecord
from geraniumlead.forwarding.open_request import Leg, OpenRequest
from geraniumlead.hashing import hash_text, rank_by_rendezvous
from geraniumlead.peering import KnownPeer, PeerDirectory
from geraniumlead.routes import Route
from geraniumlead.settings.forwarding_settings import ForwardingSettings

LEAST_LEGS = 3
"""Shards that are worth a message to a peer instead of a request each. A message there and its
reply weigh about as much as one and a half requests with their answers."""

MOST_OWN_SHARDS = 40
"""Shards near by that an instance asks by itself; queries over more are cut into blocks. Their
answers take ten milliseconds of a small machine's link and processor; those of ninety shards take
a third of the shortest goals."""

BLOCK_SHARDS = 24
"""Shards of a data centre that one peer is asked for when a query is cut into blocks."""

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


@dataclass(slots=True)
class Assignment:
    """Name a peer and the shards that it should ask."""

    peer: KnownPeer
    legs: list[Leg]


class DelegationPlan:
    """Share out a query's shards among the peers that are best placed to ask them.

    Load patterns, two of them. Shards whose upstreams are all in another region: every query
    crosses the regions once for each, and these bytes cost more than machines, processors and
    memory together. A peer beside them asks them all for one message.

    And an index over a hundred shards or more on small machines: the answers of all of them
    fill the link and the loop of the one instance that asks, and each instance meets each
    pause anew, over connections that it has to open. Blocks of shards go to a few peers each,
    the same for all instances as far as their views agree; a different view only costs warmth.
    """

    __slots__ = (
        "_directory",
        "_fleet",
        "_looked_ms",
        "_near",
        "_random",
        "_ranked",
        "_settings",
    )

    def __init__(
        self,
        settings: ForwardingSettings,
        fleet: FleetView,
        directory: PeerDirectory,
        random: Random,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._directory = directory
        self._random = random
        self._near: dict[str, dict[str, KnownPeer]] = {}
        self._ranked: dict[tuple[str, str], list[str]] = {}
        self._looked_ms = float("-inf")

    def assign(
        self, opened: OpenRequest, chosen: Sequence[tuple[Leg, UpstreamRecord]], now_ms: float
    ) -> list[Assignment]:
        """Return what peers should ask; the rest is asked from here.

        That is also the case for shards that go elsewhere because their near upstreams are in
        trouble: a hop more costs their callers as much as it spares bytes.
        """
        if opened.request.is_delegated:
            return []
        near: dict[str, list[Leg]] = {}
        far: list[Leg] = []
        for leg, upstream in chosen:
            if self._region_of(upstream.data_centre) == self._settings.region:
                near.setdefault(upstream.data_centre, []).append(leg)
            elif not self._has_near(leg.service):
                far.append(leg)
        if len(opened.legs) <= MOST_OWN_SHARDS:
            return self._assign_far(opened, far, now_ms)
        found = self._assign_blocks(opened, self._place_far(opened, far), now_ms)
        if sum(map(len, near.values())) > MOST_OWN_SHARDS:
            found += self._assign_blocks(opened, near, now_ms)
        return found

    def _assign_far(
        self, opened: OpenRequest, legs: Sequence[Leg], now_ms: float
    ) -> list[Assignment]:
        """Return the peer that should ask shards that are only elsewhere, and which.

        They may be in several regions: most of them go to one peer.
        """
        groups = self._group_by_region(legs, opened.route)
        sizes = {len(group) for group in groups.values() if len(group) >= LEAST_LEGS}
        for size in sorted(sizes, reverse=True):
            regions = {region for region, group in groups.items() if len(group) == size}
            peers = [
                peer
                for peer in self._directory.peers.values()
                if self._region_of(peer.contact.data_centre) in regions
                and self._directory.is_reached(peer, now_ms)
                and self._is_able(peer, opened, now_ms)
            ]
            if peers:
                peer = min(peers, key=self._load_of)
                return [Assignment(peer, groups[self._region_of(peer.contact.data_centre)])]
        return []

    def _place_far(self, opened: OpenRequest, legs: Sequence[Leg]) -> dict[str, list[Leg]]:
        """Return, by data centre, the far shards that the region with most of them holds.

        One peer for all of them would be as late as an instance that asks a whole index.
        """
        groups = self._group_by_region(legs, opened.route)
        if not groups:
            return {}
        most = max(map(len, groups.values()))
        region = self._random.choice([name for name, legs in groups.items() if len(legs) == most])
        placed: dict[str, list[Leg]] = {}
        for leg in groups[region]:
            data_centre = min(
                record.data_centre
                for record in self._fleet.usable(leg.service)
                if self._region_of(record.data_centre) == region
            )
            placed.setdefault(data_centre, []).append(leg)
        return placed

    def _assign_blocks(
        self, opened: OpenRequest, legs_by_place: dict[str, list[Leg]], now_ms: float
    ) -> list[Assignment]:
        """Return the peers that should ask blocks of shards beside their upstreams.

        A shard is in the same block whatever else is asked, so that the gatherers of a block
        keep their connections.
        """
        sizes = self._sizes_by_place(opened)
        found = []
        for data_centre, legs in legs_by_place.items():
            count = ceil(sizes[data_centre] / BLOCK_SHARDS)
            for block, members in _blocks_of(legs, count).items():
                if len(members) < LEAST_LEGS:
                    continue
                peer = self._find_gatherer(block, data_centre, opened, now_ms)
                if peer is not None:
                    found.append(Assignment(peer, members))
        return found

    def _sizes_by_place(self, opened: OpenRequest) -> Counter[str]:
        """Return how many shards of a query have an upstream in each data centre."""
        return Counter(
            data_centre
            for leg in opened.legs
            for data_centre in {record.data_centre for record in self._fleet.usable(leg.service)}
        )

    def _find_gatherer(
        self, block: str, data_centre: str, opened: OpenRequest, now_ms: float
    ) -> KnownPeer | None:
        """Return the peer for a block; None when this instance is one of its gatherers itself."""
        peers = self._peers_near(data_centre, now_ms)
        ranked = self._rank(block, data_centre, peers)
        count = max(1, min(GATHERERS, len(ranked) // INSTANCES_PER_GATHERER))
        own_id = self._settings.instance_id
        able = (
            name for name in ranked if name == own_id or self._is_able(peers[name], opened, now_ms)
        )
        gatherers = list(islice(able, count))
        if own_id in gatherers:
            return None
        return min((peers[name] for name in gatherers), key=self._load_of, default=None)

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
                if self._directory.may_be_asked(peer, now_ms):
                    contact = peer.contact
                    self._near.setdefault(contact.data_centre, {})[contact.instance_id] = peer
            for peers in self._near.values():
                _assume_ways(peers.values())
        return self._near.get(data_centre, {})

    def _is_able(self, peer: KnownPeer, opened: OpenRequest, now_ms: float) -> bool:
        """Return whether a peer would serve a request now, as far as it is known."""
        is_fresh = now_ms - peer.heard_ms < FRESH_HELLO_MS
        serves = peer.is_ready and peer.version >= opened.configuration.version
        return (
            (serves or not is_fresh)
            and now_ms - peer.declined_ms >= DECLINED_MS
            and now_ms - peer.began_ms >= NEW_PEER_MS
            and peer.open_delegations < MOST_OPEN
            and self._directory.may_be_asked(peer, now_ms)
            and self._is_near_enough(peer, opened.goal_ms - now_ms)
        )

    def _is_near_enough(self, peer: KnownPeer, goal_left_ms: float) -> bool:
        """Return whether a peer that stays silent is noticed while the goal can be met."""
        if goal_left_ms < LEAST_GOAL_LEFT_MS:
            return True
        return peer.word_ms <= MOST_TAKEN_GOAL_SHARE * goal_left_ms

    def _load_of(self, peer: KnownPeer) -> tuple[int, float]:
        return peer.open_delegations, self._random.random()

    def _has_near(self, service: str) -> bool:
        records = self._fleet.usable(service)
        return any(self._region_of(r.data_centre) == self._settings.region for r in records)

    def _group_by_region(self, legs: Iterable[Leg], route: Route) -> dict[str, list[Leg]]:
        """Return the shards that have an upstream in each of the other regions."""
        groups: dict[str, list[Leg]] = {}
        for leg in legs:
            for region in sorted(self._regions_of(leg.service, route)):
                groups.setdefault(region, []).append(leg)
        return groups

    def _regions_of(self, service: str, route: Route) -> set[str]:
        """Return the other regions where a service has an upstream that may be used."""
        found = {
            region
            for record in self._fleet.usable(service)
            if (region := self._region_of(record.data_centre)) is not None
        }
        if route.allowed_regions:
            found &= route.allowed_regions
        return found - {self._settings.region}

    def _region_of(self, data_centre: str) -> str | None:
        return self._settings.regions.get(data_centre)


def _assume_ways(peers: Iterable[KnownPeer]) -> None:
    """Let peers of one data centre whose way was not measured have the shortest of the others."""
    way_ms = min((peer.way_ms for peer in peers if peer.way_ms is not None), default=None)
    for peer in peers:
        peer.assumed_way_ms = way_ms


def _blocks_of(legs: Iterable[Leg], count: int) -> dict[str, list[Leg]]:
    """Return shards by the name of their block, which is one of ``count``."""
    blocks: dict[str, list[Leg]] = {}
    for leg in legs:
        blocks.setdefault(f"{hash_text(leg.service) % count}/{count}", []).append(leg)
    return blocks
