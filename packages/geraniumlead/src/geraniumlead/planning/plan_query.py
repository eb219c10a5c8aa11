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
    """Plan a query on the newest index version of which every shard has a usable replica.

    Without such a version, use the one with the most shards that have a usable replica, and the
    newest of equals. ``excluded_versions`` are those that this query found to be retired. Return
    None if no other version of the service is being served.
    """
    best: QueryPlan | None = None
    best_available = -1
    for index in view.indexes.get(service, ()):
        if index.version in excluded_versions:
            continue
        plan = _plan_version(view, index, key)
        available = sum(1 for shard in plan.shards if shard.replicas)
        if available == len(plan.shards):
            return plan
        if available > best_available:
            best, best_available = plan, available
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
