"""Define the tagged outcomes of a caller's request."""

from dataclasses import dataclass

from geraniumlead.requests.coverage import Coverage
from geraniumlead.requests.reasons import RefusalReason


@dataclass(slots=True, frozen=True)
class Answered:
    """Give the records of one index version with their true coverage.

    ``records`` holds one JSON array text for each answered shard, in shard order.
    """

    index_version: int
    coverage: Coverage
    records: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class NotRun:
    """Refuse a request of which nothing reached an upstream, or all of it was shed."""

    reason: RefusalReason
    retry_after_ms: float


@dataclass(slots=True, frozen=True)
class Unknown:
    """Admit that a non-idempotent request may or may not have run."""

    detail: str


@dataclass(slots=True, frozen=True)
class Failed:
    """End an idempotent request whose coverage stayed below what its caller accepts."""

    detail: str
    coverage: Coverage | None


Outcome = Answered | NotRun | Unknown | Failed
