"""Run a non-idempotent request at most once."""

from geraniumlead.tickets.ticket_book import TicketBook
from geraniumlead.tickets.ticket_name import TicketName
from geraniumlead.tickets.ticket_record import TicketRecord, TicketState

__all__ = ["TicketBook", "TicketName", "TicketRecord", "TicketState"]
