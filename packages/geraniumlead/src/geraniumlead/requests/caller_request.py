"""Define a caller's request after it was tied to a contract."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """Carry one request of one caller.

    ``query`` is the JSON text of the query. ``key`` sends it to one shard; None asks all
    shards. ``deadline_ms`` is absolute, on the clock that is passed to ``handle``.
    ``ticket`` is set for non-idempotent requests only.
    """

    request_id: str
    customer: str
    class_name: str
    query: bytes
    arrived_ms: float
    deadline_ms: float
    least_coverage: float
    key: str | None = None
    attempt: int = 1
    ticket: str | None = None
