"""Define what is known of one shard of an open query."""

from dataclasses import dataclass, field

from geraniumlead.planning.query_plan import ShardPlan
from geraniumlead.requests.reasons import MissingReason


@dataclass(slots=True)
class ShardState:
    """Hold a shard's first answer, or why it has none, and the calls that are out for it."""

    plan: ShardPlan
    records: bytes | None = None
    missing_reason: MissingReason | None = None
    call_ids: list[str] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    wrong_version_count: int = 0

    @property
    def is_resolved(self) -> bool:
        """Return whether nothing more is expected of the shard."""
        return self.records is not None or self.missing_reason is not None
