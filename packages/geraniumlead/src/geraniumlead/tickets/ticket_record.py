"""Define what an instance remembers of a ticket."""

from dataclasses import dataclass, field
from enum import StrEnum

from geraniumlead.requests.outcomes import Outcome


class TicketState(StrEnum):
    """Tell how far the ticket's request has come."""

    UNUSED = "unused"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True)
class TicketRecord:
    """Remember one ticket; ``waiting`` are requests that get the running one's outcome."""

    customer: str
    class_name: str
    expires_ms: float
    forget_ms: float
    state: TicketState = TicketState.UNUSED
    outcome: Outcome | None = None
    waiting: list[str] = field(default_factory=list)
