"""Remember the tickets that this incarnation issued."""

from collections import deque
from random import Random

from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.outcomes import NotRun, Outcome, Unknown
from geraniumlead.requests.reasons import RefusalReason
from geraniumlead.tickets.ticket_name import TicketName
from geraniumlead.tickets.ticket_record import TicketRecord, TicketState

REMEMBERED_PER_VALIDITY = 10
"""A record is kept for this many validity times, so that late repeats learn the truth."""

SERIAL_BITS = 64

MOST_TICKETS = 50_000
"""Tickets remembered at once. Asking for one costs a caller nothing, so without a bound one
caller could fill the memory; docs/design/at-most-once.md has the bytes of one."""


class TicketBook:
    """Issue tickets and let each one run once.

    Load pattern: callers send a booking again, to this or another instance, when an answer
    is late. Without the book each arrival would run, and a member would owe twice. Nothing
    is shared or stored: only the incarnation that issued a ticket runs it, from its memory,
    so no list of instances, however stale, can let a second instance run it.
    """

    __slots__ = ("_by_age", "_incarnation", "_instance_id", "_random", "_records", "_valid_ms")

    def __init__(self, instance_id: str, incarnation: str, valid_ms: float, random: Random) -> None:
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._valid_ms = valid_ms
        self._random = random
        self._records: dict[str, TicketRecord] = {}
        self._by_age: deque[str] = deque()

    def __len__(self) -> int:
        """Return the number of remembered tickets."""
        return len(self._records)

    def issue(self, customer: str, class_name: str, now_ms: float) -> str | None:
        """Return the text of a new ticket for one request of the class, None when full."""
        self._forget(now_ms)
        if len(self._records) >= MOST_TICKETS:
            return None
        serial = f"{self._random.getrandbits(SERIAL_BITS):016x}"
        text = TicketName(self._instance_id, self._incarnation, serial).to_text()
        self._records[text] = TicketRecord(
            customer=customer,
            class_name=class_name,
            expires_ms=now_ms + self._valid_ms,
            forget_ms=now_ms + REMEMBERED_PER_VALIDITY * self._valid_ms,
        )
        self._by_age.append(text)
        return text

    def claim(self, request: CallerRequest, now_ms: float) -> Outcome | None:
        """Return None when the request may run now, else the outcome that it already has.

        A repeat of a running request is not answered here: see ``wait_for``.
        """
        record = self._records.get(request.ticket or "")
        if record is None:
            # A forgotten ticket may have run long ago, so "not run" would be a guess.
            return Unknown("the ticket is no longer remembered")
        if (record.customer, record.class_name) != (request.customer, request.class_name):
            return NotRun(RefusalReason.TICKET_INVALID, 0.0)
        if record.state is TicketState.ENDED:
            return record.outcome
        if record.state is TicketState.UNUSED and now_ms >= record.expires_ms:
            return NotRun(RefusalReason.TICKET_EXPIRED, 0.0)
        return None

    def is_running(self, ticket: str) -> bool:
        """Return whether the ticket's request is running."""
        record = self._records.get(ticket)
        return record is not None and record.state is TicketState.RUNNING

    def wait_for(self, ticket: str, request_id: str) -> None:
        """Let a repeat get the outcome of the running request."""
        self._records[ticket].waiting.append(request_id)

    def start(self, ticket: str) -> None:
        """Mark the ticket as used, before anything is sent."""
        self._records[ticket].state = TicketState.RUNNING

    def finish(self, ticket: str, outcome: Outcome) -> list[str]:
        """Remember the outcome; return the repeats that wait for it.

        A request that surely did not run leaves its ticket unused, so that the caller may
        send it again.
        """
        record = self._records.get(ticket)
        if record is None:
            return []
        waiting, record.waiting = record.waiting, []
        if isinstance(outcome, NotRun):
            record.state = TicketState.UNUSED
        else:
            record.state, record.outcome = TicketState.ENDED, outcome
        return waiting

    def _forget(self, now_ms: float) -> None:
        while self._by_age:
            record = self._records[self._by_age[0]]
            if record.forget_ms > now_ms or record.state is TicketState.RUNNING:
                return
            del self._records[self._by_age.popleft()]
