"""Define a caller's wish for a ticket."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class TicketAsked:
    """A caller asks for a ticket for one non-idempotent request."""

    request_id: str
    customer: str
    class_name: str
