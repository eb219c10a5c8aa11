from dataclasses import dataclass, field

from geraniumlead.planning.query_plan import ShardPlan
from geraniumlead.requests.reasons import MissingReason


@dataclass(slots=True)
class ShardState:
    """The state of one shard of an open query.

    It holds the first answer or the reason why there is none, and the open calls.
    ``parked_until_ms`` is set while no replica is available and the query can wait;
    ``parked_reason`` is the reason. ``sent_ms`` is the time of the latest call.
    """

    plan: ShardPlan
    records: bytes | None = None
    missing_reason: MissingReason | None = None
    call_ids: list[str] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    wrong_version_count: int = 0
    sent_ms: float = 0.0
    sent_count: int = 0
    hedges: int = 0
    is_overdue: bool = False
    parked_until_ms: float | None = None
    parked_count: int = 0
    parked_reason: MissingReason = MissingReason.NO_REPLICA

    @property
    def is_resolved(self) -> bool:
        """Return whether the shard has an answer or a final reason for having none."""
        return self.records is not None or self.missing_reason is not None
