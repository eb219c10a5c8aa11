from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class TicketRequested:
    """A caller requested a ticket for one non-idempotent request."""

    request_id: str
    customer: str
    class_name: str
