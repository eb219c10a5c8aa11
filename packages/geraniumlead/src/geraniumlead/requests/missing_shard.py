"""Define why a shard is missing from an answer."""

from dataclasses import dataclass

from geraniumlead.requests.reasons import MissingReason


@dataclass(slots=True, frozen=True)
class MissingShard:
    """Name one shard without an answer and the reason."""

    shard: int
    reason: MissingReason
