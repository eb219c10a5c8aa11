from dataclasses import dataclass

from geraniumlead.requests.reasons import MissingReason


@dataclass(slots=True, frozen=True)
class MissingShard:
    """A shard without an answer, and the reason."""

    shard: int
    reason: MissingReason
