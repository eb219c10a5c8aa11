"""Serve tickets for callers of this instance and for forwarding peers."""

from random import Random

from geraniumlead.peers.messages import TicketedAnswer, TicketedRequest
from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.outcome_codec import decode_outcome, encode_outcome
from geraniumlead.requests.outcomes import Outcome, Unknown
from geraniumlead.settings.instance_settings import InstanceSettings
from geraniumlead.tickets.ticket_book import TicketBook
from geraniumlead.tickets.ticket_name import TicketName

FORWARDED_PREFIX = "forwarded."


class TicketDesk:
    """Tie the ticket book to the requests that came with a ticket.

    A request with another instance's ticket goes to that instance. When no answer comes
    back the outcome is unknown: the issuer may have run it.
    """

    __slots__ = (
        "_book",
        "_forwarded_in",
        "_forwarded_out",
        "_incarnation",
        "_instance_id",
        "_next_call",
        "_requests",
        "_waiting",
    )

    def __init__(self, book: TicketBook, instance_id: str, incarnation: str) -> None:
        self._book = book
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._requests: dict[str, CallerRequest] = {}
        self._forwarded_out: dict[str, CallerRequest] = {}
        self._forwarded_in: dict[str, tuple[str, str]] = {}
        self._waiting: dict[str, CallerRequest] = {}
        self._next_call = 0

    @classmethod
    def from_settings(
        cls, settings: InstanceSettings, incarnation: str, random: Random
    ) -> "TicketDesk":
        """Open the desk of one incarnation."""
        valid_ms = settings.timing.ticket_valid_ms
        book = TicketBook(settings.instance_id, incarnation, valid_ms, random)
        return cls(book, settings.instance_id, incarnation)

    @property
    def open_count(self) -> int:
        """Return how many requests wait here for a ticket's outcome."""
        return (
            len(self._requests)
            + len(self._waiting)
            + len(self._forwarded_out)
            + len(self._forwarded_in)
        )

    def issue(self, customer: str, class_name: str, now_ms: float) -> str | None:
        """Return a new ticket; None when too many are remembered."""
        return self._book.issue(customer, class_name, now_ms)

    def issuer_of(self, ticket: str) -> str | None:
        """Return the instance that a ticket names; None for a malformed one."""
        name = TicketName.from_text(ticket)
        return None if name is None else name.instance_id

    def is_own(self, ticket: str) -> bool:
        """Return whether this instance issued the ticket, in this or an earlier life."""
        return self.issuer_of(ticket) == self._instance_id

    def claim(self, request: CallerRequest, now_ms: float) -> Outcome | None:
        """Return the outcome that the ticket already has, or None when it may run."""
        name = TicketName.from_text(request.ticket or "")
        if name is not None and name.incarnation != self._incarnation:
            # The incarnation that could have run it is gone, and its memory with it.
            return Unknown("the instance that issued the ticket was restarted")
        return self._book.claim(request, now_ms)

    def join_running(self, request: CallerRequest) -> bool:
        """Let a repeat wait for the running request; False when none runs."""
        if not self._book.is_running(request.ticket or ""):
            return False
        self._book.wait_for(request.ticket or "", request.request_id)
        self._waiting[request.request_id] = request
        return True

    def start(self, request: CallerRequest) -> None:
        """Use the ticket up, before anything is sent."""
        self._book.start(request.ticket or "")
        self._requests[request.request_id] = request

    def finish(self, request: CallerRequest, outcome: Outcome) -> list[CallerRequest]:
        """Remember the outcome; return the repeats that get it too."""
        self._requests.pop(request.request_id, None)
        waiting = self._book.finish(request.ticket or "", outcome)
        return [self._waiting.pop(name) for name in waiting if name in self._waiting]

    def is_ticketed(self, request_id: str) -> bool:
        """Return whether an open request came with a ticket."""
        return request_id in self._requests or request_id in self._waiting

    def forward(self, request: CallerRequest, now_ms: float) -> tuple[TicketedRequest, Outcome]:
        """Return the message for the issuer, and the outcome if it cannot be sent."""
        self._next_call += 1
        call_id = f"{self._instance_id}.{self._incarnation}.t{self._next_call}"
        self._forwarded_out[call_id] = request
        message = TicketedRequest(
            call_id=call_id,
            request_id=request.request_id,
            customer=request.customer,
            class_name=request.class_name,
            query=request.query,
            key=request.key,
            ticket=request.ticket or "",
            remaining_ms=request.deadline_ms - now_ms,
        )
        return message, Unknown("the instance that issued the ticket is gone")

    def drop_forwarded(self, call_id: str) -> None:
        """Forget a request that could not be forwarded."""
        self._forwarded_out.pop(call_id, None)

    def take_answer(self, message: TicketedAnswer) -> tuple[CallerRequest, Outcome] | None:
        """Return the waiting request and its outcome; None when nobody waits any more."""
        request = self._forwarded_out.pop(message.call_id, None)
        return None if request is None else (request, decode_outcome(message.outcome))

    def accept_forwarded(
        self, sender_id: str, message: TicketedRequest, now_ms: float
    ) -> CallerRequest:
        """Return the peer's request as one of this instance."""
        request_id = FORWARDED_PREFIX + message.call_id
        self._forwarded_in[request_id] = (sender_id, message.call_id)
        return CallerRequest(
            request_id=request_id,
            customer=message.customer,
            class_name=message.class_name,
            query=message.query,
            arrived_ms=now_ms,
            deadline_ms=now_ms + message.remaining_ms,
            least_coverage=1.0,
            key=message.key,
            ticket=message.ticket,
        )

    def take_forwarded(
        self, request_id: str, outcome: Outcome
    ) -> tuple[str, TicketedAnswer] | None:
        """Return the message that answers a forwarded request; None for a caller's own."""
        origin = self._forwarded_in.pop(request_id, None)
        if origin is None:
            return None
        sender_id, call_id = origin
        return sender_id, TicketedAnswer(call_id, encode_outcome(outcome))

    def expire(self, now_ms: float) -> list[tuple[CallerRequest, Outcome]]:
        """Return what no answer came for in time: forwarded requests and waiting repeats."""
        silent = Unknown("the instance that issued the ticket did not answer in time")
        running = Unknown("the request is still running")
        ended = _take_late(self._forwarded_out, now_ms, silent)
        # A repeat has a deadline of its own, which may come before the running request's.
        return ended + _take_late(self._waiting, now_ms, running)

    def next_wake_ms(self) -> float | None:
        """Return the earliest deadline of a forwarded request or a waiting repeat."""
        if not self._forwarded_out and not self._waiting:
            return None
        requests = (*self._forwarded_out.values(), *self._waiting.values())
        return min((request.deadline_ms for request in requests), default=None)


def _take_late(
    requests: dict[str, CallerRequest], now_ms: float, outcome: Outcome
) -> list[tuple[CallerRequest, Outcome]]:
    late = [name for name, request in requests.items() if request.deadline_ms <= now_ms]
    return [(requests.pop(name), outcome) for name in late]
