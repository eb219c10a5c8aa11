"""Choose where a subquery goes."""

from collections.abc import Collection, Sequence
from random import Random

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.membership.membership import Membership
from geraniumlead.ownership.owners import OwnerTable
from geraniumlead.routing.route import Route


class Router:
    """Prefer replicas of the own data centre, and of those the one with the least in flight."""

    __slots__ = (
        "_data_centre",
        "_in_flight",
        "_instance_id",
        "_membership",
        "_owners",
        "_random",
        "_view",
    )

    def __init__(
        self, instance_id: str, data_centre: str, membership: Membership, random: Random
    ) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._membership = membership
        self._random = random
        self._view = ClusterView()
        self._owners = OwnerTable(self._view)
        self._in_flight: dict[str, int] = {}

    def update(self, view: ClusterView, owners: OwnerTable) -> None:
        """Take over a new view."""
        self._view, self._owners = view, owners

    def choose(
        self, replicas: Sequence[str], tried: Collection[str], now_ms: float
    ) -> Route | None:
        """Return the best way to one of ``replicas`` that was not tried, or None."""
        usable = [name for name in replicas if name not in tried and self._view.is_usable(name)]
        local = [name for name in usable if self._is_local(name)]
        for candidates in (local, [name for name in usable if name not in local]):
            self._random.shuffle(candidates)
            for name in sorted(candidates, key=lambda name: self._in_flight.get(name, 0)):
                route = self._route_to(name, now_ms)
                if route is not None:
                    return route
        return None

    def note_sent(self, upstream_id: str) -> None:
        """Count a subquery that is under way."""
        self._in_flight[upstream_id] = self._in_flight.get(upstream_id, 0) + 1

    def note_ended(self, upstream_id: str) -> None:
        """Count a subquery that ended or was cancelled."""
        left = self._in_flight.get(upstream_id, 0) - 1
        if left > 0:
            self._in_flight[upstream_id] = left
        else:
            self._in_flight.pop(upstream_id, None)

    def _is_local(self, upstream_id: str) -> bool:
        return self._view.upstreams[upstream_id].data_centre == self._data_centre

    def _route_to(self, upstream_id: str, now_ms: float) -> Route | None:
        owners = self._owners.owners_of(upstream_id)
        if self._instance_id in owners:
            return Route(upstream_id, None)
        reachable = [name for name in owners if self._membership.is_reachable(name, now_ms)]
        if not reachable:
            return None
        return Route(upstream_id, self._random.choice(reachable))
