from dataclasses import dataclass, field
from enum import StrEnum

from geraniumlead.requests.outcomes import Outcome


class TicketState(StrEnum):
    """The state of a ticket's request."""

    UNUSED = "unused"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True)
class TicketRecord:
    """The state that an instance stores for a ticket.

    ``waiting`` holds the IDs of repeats that will get the running request's outcome.
    """

    customer: str
    class_name: str
    expires_ms: float
    forget_ms: float
    state: TicketState = TicketState.UNUSED
    outcome: Outcome | None = None
    waiting: list[str] = field(default_factory=list)
