from msgspec import Struct, field


class SentRequest(Struct, kw_only=True):
    """A caller's record of a request, with the outcomes of all attempts and the final one.

    ``outcome`` is one of whole, partial, not_run, failed, unknown, unanswered and malformed.
    ``faults`` lists the contradictions that the caller found in the answer.
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
