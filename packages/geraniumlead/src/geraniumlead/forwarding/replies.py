"""Replies to callers."""

from dataclasses import dataclass

from geraniumlead.forwarding.results import Completed


@dataclass(frozen=True, slots=True)
class RelayedReply:
    """An upstream's answer, relayed unchanged."""

    answer: Completed


@dataclass(frozen=True, slots=True)
class MergedReply:
    """The greatest records of all shards; ``missing`` counts the shards without an answer."""

    signatures: tuple[str, ...]
    missing: int
    records: bytes


@dataclass(frozen=True, slots=True)
class OwnReply:
    """A reply with a status that this instance determined.

    503 and 429 guarantee that the request was not executed and never will be. After
    ``retry_after_ms`` the caller may retry.
    """

    status: int
    reason: str
    retry_after_ms: float | None = None


Reply = RelayedReply | MergedReply | OwnReply
