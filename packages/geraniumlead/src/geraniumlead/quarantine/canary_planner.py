from dataclasses import replace

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.planning.query_plan import QueryPlan
from geraniumlead.quarantine.canary_plan import CanaryPlan

CANARY_REPLICAS = 2
"""Number of upstreams that may crash before a fingerprint is quarantined."""


class CanaryPlanner:
    """Limits the first step of an unproven query to two replicas of one shard.

    Both replicas are chosen by the fingerprint and are the same on every instance of a data
    centre. A crashing query therefore reaches two upstreams, no matter how many callers send
    it through how many instances at the same time. Otherwise each instance would crash a
    replica of its own choice before the first notice to its peers arrives. Continuing with a
    third replica while both are cold or unreachable would defeat this, because that is their
    state after a crash: thirty requests through three instances at the same moment crashed four
    upstreams instead of two.

    The two are the first replica in the own data centre and the first one in another. With both
    in the own data centre, every unproven query failed while its upstreams were down. The
    first replica in each data centre is the same for all instances, so several data centres
    together reach no more upstreams than there are data centres. An unproven query still fails
    while both of its replicas are unavailable; a proven one does not.
    """

    __slots__ = ("_data_centre", "_view")

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._view = ClusterView()

    def update(self, view: ClusterView) -> None:
        """Apply a new view."""
        self._view = view

    def plan_first_step(self, plan: QueryPlan, fingerprint: int) -> CanaryPlan | None:
        """Return the first step of a query, or None if no shard has a replica."""
        candidates = [position for position, shard in enumerate(plan.shards) if shard.replicas]
        if not candidates:
            return None
        position = candidates[fingerprint % len(candidates)]
        shard = plan.shards[position]
        reduced = replace(shard, replicas=self._choose_replicas(shard.replicas, str(fingerprint)))
        shards = (*plan.shards[:position], reduced, *plan.shards[position + 1 :])
        return CanaryPlan(replace(plan, shards=shards), position)

    def _choose_replicas(self, replicas: tuple[str, ...], subject: str) -> tuple[str, ...]:
        ranked = rank_by_rendezvous(subject, replicas)
        # Stable sort: each data centre's first replica precedes any second one, local ones first.
        ranked = sorted(
            ranked,
            key=lambda name: (self._rank_in_data_centre(name, ranked), not self._is_local(name)),
        )
        return tuple(ranked[:CANARY_REPLICAS])

    def _rank_in_data_centre(self, upstream_id: str, ranked: list[str]) -> int:
        data_centre = self._data_centre_of(upstream_id)
        same_data_centre = [name for name in ranked if self._data_centre_of(name) == data_centre]
        return same_data_centre.index(upstream_id)

    def _is_local(self, upstream_id: str) -> bool:
        return self._data_centre_of(upstream_id) == self._data_centre

    def _data_centre_of(self, upstream_id: str) -> str | None:
        placed = self._view.upstreams.get(upstream_id)
        return None if placed is None else placed.data_centre
