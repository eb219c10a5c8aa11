"""Compute the owners of each upstream."""

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.ownership.rendezvous import rank_by_rendezvous

MOST_OWNERS = 6
"""Owners of one upstream; the cost per subquery is least near six at the target size."""

LEAST_CONNECTIONS = 4
"""Connections that an owner needs to keep one upstream's slots busy."""


class OwnerTable:
    """Remember the owners of each upstream for one view."""

    __slots__ = ("_owners", "_view")

    def __init__(self, view: ClusterView) -> None:
        self._view = view
        self._owners: dict[str, tuple[str, ...]] = {}

    def owners_of(self, upstream_id: str) -> tuple[str, ...]:
        """Return the owners of an upstream in rendezvous order.

        They are instances of the upstream's own data centre; the connection limit bounds
        their number, so that together they never open more than the upstream allows.
        """
        owners = self._owners.get(upstream_id)
        if owners is None:
            owners = self._owners[upstream_id] = self._compute(upstream_id)
        return owners

    def _compute(self, upstream_id: str) -> tuple[str, ...]:
        placed = self._view.upstreams[upstream_id]
        listed = self._view.instances.get(placed.data_centre, ())
        names = [entry.instance_id for entry in listed if entry.state == "live"]
        most = min(MOST_OWNERS, max(1, placed.entry.connections // LEAST_CONNECTIONS))
        return tuple(rank_by_rendezvous(upstream_id, names)[:most])
