from collections import deque
from random import Random

from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.outcomes import NotRun, Outcome, Unknown
from geraniumlead.requests.reasons import RefusalReason
from geraniumlead.tickets.ticket_name import TicketName
from geraniumlead.tickets.ticket_record import TicketRecord, TicketState

RETENTION_VALIDITY_TIMES = 10
"""A record is kept for this many validity times, so that late repeats still get the outcome."""

SERIAL_BITS = 64

MAX_TICKETS = 50_000
"""Maximum number of remembered tickets. Requesting a ticket costs a caller nothing, so without a
limit one caller could exhaust the memory; see docs/design/at-most-once.md for the bytes per
ticket."""


class TicketRegistry:
    """Issues tickets and lets the request of each ticket run at most once.

    Load pattern: when an answer is late, callers repeat a booking at this or another instance.
    Without the registry each arrival would run, and a member would be charged twice. The registry
    is neither shared nor stored: only the incarnation that issued a ticket runs its request, from
    its own memory, so even a stale list of instances cannot let a second instance run it.
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
        """Return the text of a new ticket for one request of the class, or None if full."""
        self._forget_expired(now_ms)
        if len(self._records) >= MAX_TICKETS:
            return None
        serial = f"{self._random.getrandbits(SERIAL_BITS):016x}"
        text = TicketName(self._instance_id, self._incarnation, serial).to_text()
        self._records[text] = TicketRecord(
            customer=customer,
            class_name=class_name,
            expires_ms=now_ms + self._valid_ms,
            forget_ms=now_ms + RETENTION_VALIDITY_TIMES * self._valid_ms,
        )
        self._by_age.append(text)
        return text

    def claim(self, request: CallerRequest, now_ms: float) -> Outcome | None:
        """Return the outcome that the request already has, or None if it has none.

        A repeat of a running request also gets None here: see ``add_waiting_repeat``.
        """
        record = self._records.get(request.ticket or "")
        if record is None:
            # The request of a forgotten ticket may have run long ago, so "not run" could be false.
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

    def add_waiting_repeat(self, ticket: str, request_id: str) -> None:
        """Register a repeat to get the outcome of the running request."""
        self._records[ticket].waiting.append(request_id)

    def start(self, ticket: str) -> None:
        """Mark the ticket as used, before any subquery is sent."""
        self._records[ticket].state = TicketState.RUNNING

    def finish(self, ticket: str, outcome: Outcome) -> list[str]:
        """Store the outcome; return the IDs of the repeats that wait for it.

        A request that certainly did not run leaves its ticket unused, so that the caller can
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

    def _forget_expired(self, now_ms: float) -> None:
        while self._by_age:
            record = self._records[self._by_age[0]]
            if record.forget_ms > now_ms or record.state is TicketState.RUNNING:
                return
            del self._records[self._by_age.popleft()]
