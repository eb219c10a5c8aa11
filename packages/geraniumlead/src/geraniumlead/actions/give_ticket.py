"""Define the answer to a wish for a ticket."""

from dataclasses import dataclass

from geraniumlead.requests.outcomes import NotRun


@dataclass(slots=True, frozen=True)
class GiveTicket:
    """Give a caller a ticket and the time for which it holds, or refuse it."""

    request_id: str
    ticket: str | None
    valid_ms: float
    refusal: NotRun | None = None
