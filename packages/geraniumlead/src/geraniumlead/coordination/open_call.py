from dataclasses import dataclass

from geraniumlead.coordination.open_query import OpenQuery
from geraniumlead.coordination.shard_state import ShardState
from geraniumlead.routing.subquery_route import SubqueryRoute


@dataclass(slots=True)
class OpenCall:
    """A call in progress, with its query and shard."""

    query: OpenQuery
    shard: ShardState
    route: SubqueryRoute
    sent_ms: float
    is_probe: bool = False
