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
    """The plan of a query without an outcome, and the state of its shards.

    ``monitored`` holds the shards that may be unresolved, ``parked_count`` is the number of
    shards that wait for a replica, and ``next_check_ms`` is the time of the next check for
    stragglers.
    """

    request: CallerRequest
    traffic_class: TrafficClass
    plan: QueryPlan
    started_ms: float
    shards: list[ShardState]
    unresolved_count: int
    subqueries: int = 0
    extra_subqueries: int = 0
    monitored: list[ShardState] = field(default_factory=list)
    parked_count: int = 0
    next_check_ms: float = float("inf")
    probe_ids: list[str] = field(default_factory=list)
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
        """Create an open query with no subqueries sent."""
        shards = [ShardState(shard) for shard in plan.shards]
        return cls(request, traffic_class, plan, now_ms, shards, len(shards))

    def restart(self, plan: QueryPlan) -> None:
        """Discard all records and switch to the plan of another index version."""
        self.excluded_versions.add(self.plan.index_version)
        self.plan = plan
        self.shards = [ShardState(shard) for shard in plan.shards]
        self.unresolved_count = len(self.shards)
        self.parked_count = 0
        self.next_check_ms = float("inf")

    def coverage(self) -> Coverage:
        """Return the coverage.

        A shard that is neither resolved nor parked is missing for its deadline.
        """
        missing = tuple(
            MissingShard(shard.plan.shard, _reason_of(shard))
            for shard in self.shards
            if shard.records is None
        )
        return Coverage(len(self.shards), len(self.shards) - len(missing), missing)

    def has_min_coverage(self) -> bool:
        """Return whether enough shards have answered for the caller."""
        answered = sum(1 for shard in self.shards if shard.records is not None)
        return answered > 0 and answered >= self.request.least_coverage * len(self.shards)

    def records(self) -> tuple[bytes, ...]:
        """Return the records of the answered shards, in shard order."""
        return tuple(shard.records for shard in self.shards if shard.records is not None)


def _reason_of(shard: ShardState) -> MissingReason:
    if shard.missing_reason is not None:
        return shard.missing_reason
    is_parked = shard.parked_until_ms is not None
    return shard.parked_reason if is_parked else MissingReason.DEADLINE
