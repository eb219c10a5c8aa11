from dataclasses import dataclass

from geraniumlead.requests.outcomes import NotRun


@dataclass(slots=True, frozen=True)
class AnswerTicketRequest:
    """Send a caller a ticket and the time for which it is valid, or a refusal."""

    request_id: str
    ticket: str | None
    valid_ms: float
    refusal: NotRun | None = None
