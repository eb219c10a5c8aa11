"""Define what a caller gets."""

from dataclasses import dataclass

from geraniumlead.forwarding.results import Completed


@dataclass(frozen=True, slots=True)
class RelayedReply:
    """Pass an upstream's answer on as it is."""

    answer: Completed


@dataclass(frozen=True, slots=True)
class MergedReply:
    """Answer with the greatest records of the parts; ``missing`` counts shards left out."""

    signatures: tuple[str, ...]
    missing: int
    records: bytes


@dataclass(frozen=True, slots=True)
class OwnReply:
    """Answer with a status of this instance.

    503 and 429 promise that the request did not run and never will; ``retry_after_ms``
    tells when to come back.
    """

    status: int
    reason: str
    retry_after_ms: float | None = None


Reply = RelayedReply | MergedReply | OwnReply
