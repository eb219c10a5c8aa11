"""Tickets, which ensure that a non-idempotent request runs at most once."""

from geraniumlead.tickets.ticket_name import TicketName
from geraniumlead.tickets.ticket_record import TicketRecord, TicketState
from geraniumlead.tickets.ticket_registry import TicketRegistry

__all__ = ["TicketName", "TicketRecord", "TicketRegistry", "TicketState"]
