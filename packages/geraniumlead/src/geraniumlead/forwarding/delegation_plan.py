"""Choose the peers that ask some of a query's shards."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import ceil
from random import Random

from geraniumlead.fleet import FleetView, UpstreamRecord
from geraniumlead.forwarding.gatherers import Gatherers
from geraniumlead.forwarding.open_request import Leg, OpenRequest
from geraniumlead.hashing import hash_text
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

    __slots__ = ("_directory", "_fleet", "_gatherers", "_random", "_settings")

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
        self._gatherers = Gatherers(settings, directory, random)

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
        if len(far) <= BLOCK_SHARDS:
            found = self._assign_far(opened, far, now_ms)
        else:
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
                and self._directory.is_reachable(peer, now_ms)
                and self._gatherers.is_able(peer, opened, now_ms)
            ]
            if peers:
                peer = min(peers, key=self._gatherers.load_of)
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
                peer = self._gatherers.find(block, data_centre, opened, now_ms)
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


def _blocks_of(legs: Iterable[Leg], count: int) -> dict[str, list[Leg]]:
    """Return shards by the name of their block, which is one of ``count``."""
    blocks: dict[str, list[Leg]] = {}
    for leg in legs:
        blocks.setdefault(f"{hash_text(leg.service) % count}/{count}", []).append(leg)
    return blocks
