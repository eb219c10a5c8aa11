"""Choose where an unproven query goes first."""

from dataclasses import replace

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.hashing import rank_by_rendezvous
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
    sends through three instances at one moment crashed four upstreams instead of two.

    The two are the first of the own data centre and the first of another. With both in the
    own one, every unproven query failed for as long as the own data centre's upstreams were
    down. Each data centre's first is the same for all, so several data centres together
    reach no more upstreams than there are data centres. An unproven query still fails while
    both of its replicas are out; a proven one does not.
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
        few = replace(shard, replicas=self._choose_few(shard.replicas, str(fingerprint)))
        shards = (*plan.shards[:place], few, *plan.shards[place + 1 :])
        return CanaryPlan(replace(plan, shards=shards), place)

    def _choose_few(self, replicas: tuple[str, ...], subject: str) -> tuple[str, ...]:
        ranked = rank_by_rendezvous(subject, replicas)
        # Stable, so each data centre's first comes before any second, near ones before far.
        ranked = sorted(
            ranked, key=lambda name: (self._rank_at_home(name, ranked), not self._is_near(name))
        )
        return tuple(ranked[:CANARY_REPLICAS])

    def _rank_at_home(self, upstream_id: str, ranked: list[str]) -> int:
        home = self._home_of(upstream_id)
        at_home = [name for name in ranked if self._home_of(name) == home]
        return at_home.index(upstream_id)

    def _is_near(self, upstream_id: str) -> bool:
        return self._home_of(upstream_id) == self._data_centre

    def _home_of(self, upstream_id: str) -> str | None:
        placed = self._view.upstreams.get(upstream_id)
        return None if placed is None else placed.data_centre
