"""The possible outcomes of a caller's request."""

from dataclasses import dataclass

from geraniumlead.requests.coverage import Coverage
from geraniumlead.requests.reasons import RefusalReason


@dataclass(slots=True, frozen=True)
class Answered:
    """The records of one index version, and their coverage.

    ``records`` holds the text of one JSON array per answered shard, in shard order.
    """

    index_version: int
    coverage: Coverage
    records: tuple[bytes, ...]


@dataclass(slots=True, frozen=True)
class NotRun:
    """The request did not run: no part of it reached an upstream, or all of it was shed."""

    reason: RefusalReason
    retry_after_ms: float


@dataclass(slots=True, frozen=True)
class Unknown:
    """A non-idempotent request may or may not have run."""

    detail: str


@dataclass(slots=True, frozen=True)
class Failed:
    """An idempotent request ended with less coverage than its caller accepts."""

    detail: str
    coverage: Coverage | None


Outcome = Answered | NotRun | Unknown | Failed
