"""Choose where an unproven query goes first."""

from dataclasses import replace

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.ownership.rendezvous import rank_by_rendezvous
from geraniumlead.planning.query_plan import QueryPlan
from geraniumlead.quarantine.canary_plan import CanaryPlan

CANARY_REPLICAS = 2
"""As many as may crash before a fingerprint is quarantined."""


class CanaryPlanner:
    """Cut the first step of an unproven query down to two replicas of one shard.

    Both follow from the fingerprint, so they are the same on every instance of a data
    centre: however many callers send a crashing query through however many instances at
    once, it reaches two upstreams. Without this, each instance would crash a replica of its
    own choice before the first notice to its peers arrives. To go on to a third replica when
    both are cold or can't be reached was tried: after a crash they are just that, and thirty
    sends through three instances at one moment crashed four upstreams instead of two. So an
    unproven query fails while both of its replicas are out; a proven one does not.
    """

    __slots__ = ("_data_centre", "_view")

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._view = ClusterView()

    def update(self, view: ClusterView) -> None:
        """Take over a new view."""
        self._view = view

    def cut(self, plan: QueryPlan, fingerprint: int) -> CanaryPlan | None:
        """Return the first step of a query; None when no shard has a replica."""
        held = [place for place, shard in enumerate(plan.shards) if shard.replicas]
        if not held:
            return None
        place = held[fingerprint % len(held)]
        shard = plan.shards[place]
        near = [name for name in shard.replicas if self._is_near(name)]
        ranked = rank_by_rendezvous(str(fingerprint), near or shard.replicas)
        few = replace(shard, replicas=tuple(ranked[:CANARY_REPLICAS]))
        shards = (*plan.shards[:place], few, *plan.shards[place + 1 :])
        return CanaryPlan(replace(plan, shards=shards), place)

    def _is_near(self, upstream_id: str) -> bool:
        placed = self._view.upstreams.get(upstream_id)
        return placed is not None and placed.data_centre == self._data_centre
