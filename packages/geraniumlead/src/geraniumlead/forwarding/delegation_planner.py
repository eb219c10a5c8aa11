from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import ceil
from random import Random

from geraniumlead.forwarding.aggregator_chooser import AggregatorChooser
from geraniumlead.forwarding.open_request import OpenRequest, Subrequest
from geraniumlead.hashing import hash_text
from geraniumlead.peering import KnownPeer, PeerDirectory
from geraniumlead.published_upstreams import UpstreamRecord, UpstreamView
from geraniumlead.routes import Route
from geraniumlead.settings.forwarding_settings import ForwardingSettings

MIN_DELEGATED_SUBREQUESTS = 3
"""Minimum number of shards to delegate to a peer instead of sending a request to each. A message to
a peer and its reply cost about as much as one and a half requests with their answers."""

MAX_LOCAL_SHARDS = 40
"""Maximum number of shards in the own region that an instance queries by itself; queries over more
are split into shard groups. The answers of 40 shards take ten milliseconds of a small machine's
link and processor; those of ninety take a third of the shortest latency goals."""

SHARD_GROUP_SIZE = 24
"""Number of shards of a data centre that are delegated to one peer when a query is split into shard
groups."""


@dataclass(slots=True)
class Assignment:
    """A peer and the subrequests to delegate to it."""

    peer: KnownPeer
    subrequests: list[Subrequest]


class DelegationPlanner:
    """Decides which subrequests of a query are delegated to which peers.

    There are two load patterns. In the first, all upstreams of some shards are in another region.
    Every query crosses the regions once for each such shard, and these bytes cost more than
    machines, processors and memory together. A peer in the same region as the upstreams queries all
    of them for one message.

    In the second, an index has a hundred shards or more on small machines. The answers of all
    shards saturate the link and the event loop of the one instance that queries them, and each
    instance runs into each pause of an upstream separately, over connections that it has to open.
    Therefore each group of shards is queried by a few peers, which are the same for all instances
    as far as their views agree. A different view only leads to fewer warm connections.
    """

    __slots__ = ("_aggregators", "_directory", "_random", "_settings", "_upstream_view")

    def __init__(
        self,
        settings: ForwardingSettings,
        upstream_view: UpstreamView,
        directory: PeerDirectory,
        random: Random,
    ) -> None:
        self._settings = settings
        self._upstream_view = upstream_view
        self._directory = directory
        self._random = random
        self._aggregators = AggregatorChooser(settings, directory, random)

    def assign(
        self,
        open_request: OpenRequest,
        chosen: Sequence[tuple[Subrequest, UpstreamRecord]],
        now_ms: float,
    ) -> list[Assignment]:
        """Return the subrequests that peers should send; the others are sent from here.

        Subrequests that go to another region only because their upstreams in this region are in
        trouble are sent from here, too: one hop more costs their callers as much as it saves in
        bytes.
        """
        if open_request.request.is_delegated:
            return []
        near: dict[str, list[Subrequest]] = {}
        far: list[Subrequest] = []
        for subrequest, upstream in chosen:
            if self._region_of(upstream.data_centre) == self._settings.region:
                near.setdefault(upstream.data_centre, []).append(subrequest)
            elif not self._has_near(subrequest.service):
                far.append(subrequest)
        if len(far) <= SHARD_GROUP_SIZE:
            assignments = self._assign_far(open_request, far, now_ms)
        else:
            assignments = self._assign_groups(
                open_request, self._far_by_data_centre(open_request, far), now_ms
            )
        if sum(map(len, near.values())) > MAX_LOCAL_SHARDS:
            assignments += self._assign_groups(open_request, near, now_ms)
        return assignments

    def _assign_far(
        self, open_request: OpenRequest, subrequests: Sequence[Subrequest], now_ms: float
    ) -> list[Assignment]:
        """Return the peer for shards that are only in other regions, and these shards.

        They may be in several regions: as many of them as possible go to one peer.
        """
        groups = self._group_by_region(subrequests, open_request.route)
        sizes = {len(group) for group in groups.values() if len(group) >= MIN_DELEGATED_SUBREQUESTS}
        for size in sorted(sizes, reverse=True):
            regions = {region for region, group in groups.items() if len(group) == size}
            peers = [
                peer
                for peer in self._directory.peers.values()
                if self._region_of(peer.contact.data_centre) in regions
                and self._directory.is_reachable(peer, now_ms)
                and self._aggregators.can_serve(peer, open_request, now_ms)
            ]
            if peers:
                peer = min(peers, key=self._aggregators.load_sort_key)
                return [Assignment(peer, groups[self._region_of(peer.contact.data_centre)])]
        return []

    def _far_by_data_centre(
        self, open_request: OpenRequest, subrequests: Sequence[Subrequest]
    ) -> dict[str, list[Subrequest]]:
        """Return the shards of the other region that holds most of them, by data centre.

        A single peer for all of them would be as late as an instance that queries a whole index.
        """
        groups = self._group_by_region(subrequests, open_request.route)
        if not groups:
            return {}
        max_size = max(map(len, groups.values()))
        region = self._random.choice(
            [name for name, subrequests in groups.items() if len(subrequests) == max_size]
        )
        by_data_centre: dict[str, list[Subrequest]] = {}
        for subrequest in groups[region]:
            data_centre = min(
                record.data_centre
                for record in self._upstream_view.usable(subrequest.service)
                if self._region_of(record.data_centre) == region
            )
            by_data_centre.setdefault(data_centre, []).append(subrequest)
        return by_data_centre

    def _assign_groups(
        self,
        open_request: OpenRequest,
        subrequests_by_data_centre: dict[str, list[Subrequest]],
        now_ms: float,
    ) -> list[Assignment]:
        """Return the peers that should query shard groups from their data centre.

        A shard is in the same group whatever other shards are queried, so that the aggregators of a
        group keep their connections.
        """
        sizes = self._shards_by_data_centre(open_request)
        assignments = []
        for data_centre, subrequests in subrequests_by_data_centre.items():
            count = ceil(sizes[data_centre] / SHARD_GROUP_SIZE)
            for group_name, members in _shard_groups_of(subrequests, count).items():
                if len(members) < MIN_DELEGATED_SUBREQUESTS:
                    continue
                peer = self._aggregators.find(group_name, data_centre, open_request, now_ms)
                if peer is not None:
                    assignments.append(Assignment(peer, members))
        return assignments

    def _shards_by_data_centre(self, open_request: OpenRequest) -> Counter[str]:
        """Return how many shards of a query have an upstream in each data centre."""
        return Counter(
            data_centre
            for subrequest in open_request.subrequests
            for data_centre in {
                record.data_centre for record in self._upstream_view.usable(subrequest.service)
            }
        )

    def _has_near(self, service: str) -> bool:
        records = self._upstream_view.usable(service)
        return any(self._region_of(r.data_centre) == self._settings.region for r in records)

    def _group_by_region(
        self, subrequests: Iterable[Subrequest], route: Route
    ) -> dict[str, list[Subrequest]]:
        """Return, for each other region, the subrequests with an upstream in it."""
        groups: dict[str, list[Subrequest]] = {}
        for subrequest in subrequests:
            for region in sorted(self._regions_of(subrequest.service, route)):
                groups.setdefault(region, []).append(subrequest)
        return groups

    def _regions_of(self, service: str, route: Route) -> set[str]:
        """Return the other regions in which a service has an upstream that may be used."""
        regions = {
            region
            for record in self._upstream_view.usable(service)
            if (region := self._region_of(record.data_centre)) is not None
        }
        if route.allowed_regions:
            regions &= route.allowed_regions
        return regions - {self._settings.region}

    def _region_of(self, data_centre: str) -> str | None:
        return self._settings.regions.get(data_centre)


def _shard_groups_of(subrequests: Iterable[Subrequest], count: int) -> dict[str, list[Subrequest]]:
    """Return subrequests by the name of their shard group, which is one of ``count``."""
    groups: dict[str, list[Subrequest]] = {}
    for subrequest in subrequests:
        groups.setdefault(f"{hash_text(subrequest.service) % count}/{count}", []).append(subrequest)
    return groups
