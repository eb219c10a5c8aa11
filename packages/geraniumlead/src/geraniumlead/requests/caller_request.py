from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """A caller's request, after it was matched to a contract.

    ``query`` is the JSON text of the query. ``key`` selects one shard; None selects all
    shards. ``deadline_ms`` is an absolute time on the clock that is passed to ``handle``.
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
