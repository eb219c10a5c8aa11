"""Choose the index version of a query and the replicas of each shard."""

from collections.abc import Collection

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.documents.index import IndexDocument
from geraniumlead.hashing import hash_text
from geraniumlead.planning.query_plan import QueryPlan, ShardPlan


def plan_query(
    view: ClusterView,
    service: str,
    key: str | None,
    excluded_versions: Collection[int] = (),
) -> QueryPlan | None:
    """Plan a query on the newest version that can cover every shard.

    Without such a version, the one with the most covered shards is taken, the newer one of
    equals. ``excluded_versions`` were found retired by this query. None when no version of
    the service is being served.
    """
    best: QueryPlan | None = None
    best_covered = -1
    for index in view.indexes.get(service, ()):
        if index.version in excluded_versions:
            continue
        plan = _plan_version(view, index, key)
        covered = sum(1 for shard in plan.shards if shard.replicas)
        if covered == len(plan.shards):
            return plan
        if covered > best_covered:
            best, best_covered = plan, covered
    return best


def _plan_version(view: ClusterView, index: IndexDocument, key: str | None) -> QueryPlan:
    entries = index.shards
    if key is not None:
        entries = [entries[hash_text(key) % len(entries)]]
    shards = tuple(
        ShardPlan(entry.shard, tuple(name for name in entry.replicas if view.is_usable(name)))
        for entry in entries
    )
    return QueryPlan(index.service, index.version, shards)
