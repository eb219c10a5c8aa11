"""Define a query that has no outcome yet."""

from dataclasses import dataclass, field

from geraniumlead.coordination.shard_state import ShardState
from geraniumlead.documents.traffic_class import TrafficClass
from geraniumlead.planning.query_plan import QueryPlan
from geraniumlead.quarantine.canary_plan import CanaryPlan
from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.coverage import Coverage
from geraniumlead.requests.missing_shard import MissingShard
from geraniumlead.requests.reasons import MissingReason


@dataclass(slots=True)
class OpenQuery:
    """Hold the plan of a query and what came of its shards."""

    request: CallerRequest
    traffic_class: TrafficClass
    plan: QueryPlan
    started_ms: float
    shards: list[ShardState]
    unresolved: int
    subqueries: int = 0
    extra_subqueries: int = 0
    excluded_versions: set[int] = field(default_factory=set)
    fingerprint: int = 0
    canary: CanaryPlan | None = None

    @classmethod
    def from_plan(
        cls,
        request: CallerRequest,
        traffic_class: TrafficClass,
        plan: QueryPlan,
        now_ms: float,
    ) -> "OpenQuery":
        """Open a query of which nothing was sent yet."""
        shards = [ShardState(shard) for shard in plan.shards]
        return cls(request, traffic_class, plan, now_ms, shards, len(shards))

    def start_again(self, plan: QueryPlan) -> None:
        """Throw away all records and take another index version."""
        self.excluded_versions.add(self.plan.index_version)
        self.plan = plan
        self.shards = [ShardState(shard) for shard in plan.shards]
        self.unresolved = len(self.shards)

    def coverage(self) -> Coverage:
        """Count the shards that answered; the unresolved are missing for the deadline."""
        missing = tuple(
            MissingShard(shard.plan.shard, shard.missing_reason or MissingReason.DEADLINE)
            for shard in self.shards
            if shard.records is None
        )
        return Coverage(len(self.shards), len(self.shards) - len(missing), missing)

    def records(self) -> tuple[bytes, ...]:
        """Return the records of the answered shards, in shard order."""
        return tuple(shard.records for shard in self.shards if shard.records is not None)
