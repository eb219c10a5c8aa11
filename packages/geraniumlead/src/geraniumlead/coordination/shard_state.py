"""Define what is known of one shard of an open query."""

from dataclasses import dataclass, field

from geraniumlead.planning.query_plan import ShardPlan
from geraniumlead.requests.reasons import MissingReason


@dataclass(slots=True)
class ShardState:
    """Hold a shard's first answer, or why it has none, and the calls that are out for it.

    ``parked_until_ms`` is set while no replica can be asked and the query can wait;
    ``last_reason`` is why. ``sent_ms`` is the time of the latest call.
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
    last_reason: MissingReason = MissingReason.NO_REPLICA

    @property
    def is_resolved(self) -> bool:
        """Return whether nothing more is expected of the shard."""
        return self.records is not None or self.missing_reason is not None
