"""Define what callers note of one request."""

from msgspec import Struct, field


class SentRequest(Struct, kw_only=True):
    """Note a request, all its attempts' outcomes, and the first final one.

    ``outcome`` is one of whole, partial, not_run, failed, unknown and unanswered. ``faults``
    says what is untrue in the answer by the caller's own account.
    """

    name: str
    class_name: str
    sent_ns: int
    is_booking: bool = False
    outcome: str = "unanswered"
    elapsed_ms: float = 0.0
    asked_shards: int = 0
    answered_shards: int = 0
    index_version: int = 0
    reason: str = ""
    attempts: int = 0
    is_late: bool = False
    outcomes: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
