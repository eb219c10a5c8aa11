from random import Random

from geraniumlead.instance.message_times import find_wait_ms
from geraniumlead.peer_messages.messages import TicketedAnswer, TicketedRequest
from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.outcome_codec import decode_outcome, encode_outcome
from geraniumlead.requests.outcomes import Outcome, Unknown
from geraniumlead.settings.instance_settings import InstanceSettings
from geraniumlead.tickets.ticket_name import TicketName
from geraniumlead.tickets.ticket_registry import TicketRegistry

FORWARDED_PREFIX = "forwarded."


class TicketHandler:
    """Tracks the requests with a ticket, of this instance's callers and of forwarding peers.

    A request with another instance's ticket is forwarded to that instance. If no answer
    comes back, the outcome is unknown, as the issuer may have run the request.
    """

    __slots__ = (
        "_forwarded_in",
        "_forwarded_out",
        "_incarnation",
        "_instance_id",
        "_next_call",
        "_registry",
        "_requests",
        "_waiting_repeats",
    )

    def __init__(self, registry: TicketRegistry, instance_id: str, incarnation: str) -> None:
        self._registry = registry
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._requests: dict[str, CallerRequest] = {}
        self._forwarded_out: dict[str, CallerRequest] = {}
        self._forwarded_in: dict[str, tuple[str, str]] = {}
        self._waiting_repeats: dict[str, CallerRequest] = {}
        self._next_call = 0

    @classmethod
    def from_settings(
        cls, settings: InstanceSettings, incarnation: str, random: Random
    ) -> "TicketHandler":
        """Create the handler of one incarnation."""
        valid_ms = settings.timing.ticket_valid_ms
        registry = TicketRegistry(settings.instance_id, incarnation, valid_ms, random)
        return cls(registry, settings.instance_id, incarnation)

    @property
    def open_count(self) -> int:
        """Return the number of open requests with a ticket, forwarded ones included."""
        return (
            len(self._requests)
            + len(self._waiting_repeats)
            + len(self._forwarded_out)
            + len(self._forwarded_in)
        )

    def issue(self, customer: str, class_name: str, now_ms: float) -> str | None:
        """Return a new ticket, or None if the limit of remembered tickets is reached."""
        return self._registry.issue(customer, class_name, now_ms)

    def issuer_of(self, ticket: str) -> str | None:
        """Return the ID of the instance that issued a ticket, or None if it is malformed."""
        name = TicketName.from_text(ticket)
        return None if name is None else name.instance_id

    def is_own(self, ticket: str) -> bool:
        """Return whether this or an earlier incarnation of this instance issued the ticket."""
        return self.issuer_of(ticket) == self._instance_id

    def claim(self, request: CallerRequest, now_ms: float) -> Outcome | None:
        """Return the outcome that the ticket already has.

        Return None if its request may run or is running already.
        """
        name = TicketName.from_text(request.ticket or "")
        if name is not None and name.incarnation != self._incarnation:
            # Only the earlier incarnation could have run it, and its memory is lost.
            return Unknown("the instance that issued the ticket was restarted")
        return self._registry.claim(request, now_ms)

    def join_running(self, request: CallerRequest) -> bool:
        """Let a repeat wait for the running request; return False if none is running."""
        if not self._registry.is_running(request.ticket or ""):
            return False
        self._registry.add_waiting_repeat(request.ticket or "", request.request_id)
        self._waiting_repeats[request.request_id] = request
        return True

    def start(self, request: CallerRequest) -> None:
        """Mark the ticket as used, before any subquery is sent."""
        self._registry.start(request.ticket or "")
        self._requests[request.request_id] = request

    def finish(self, request: CallerRequest, outcome: Outcome) -> list[CallerRequest]:
        """Store the outcome of a request; return the waiting repeats, which get it too."""
        self._requests.pop(request.request_id, None)
        waiting = self._registry.finish(request.ticket or "", outcome)
        return [
            self._waiting_repeats.pop(name) for name in waiting if name in self._waiting_repeats
        ]

    def has_ticket(self, request_id: str) -> bool:
        """Return whether an open request came with a ticket."""
        return request_id in self._requests or request_id in self._waiting_repeats

    def forward(self, request: CallerRequest, now_ms: float) -> tuple[TicketedRequest, Outcome]:
        """Return the message for the issuer, and the outcome to use if it cannot be sent."""
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
        """Discard a request that could not be forwarded."""
        self._forwarded_out.pop(call_id, None)

    def handle_answer(self, message: TicketedAnswer) -> tuple[CallerRequest, Outcome] | None:
        """Return the forwarded request and its outcome, or None if it is no longer open."""
        request = self._forwarded_out.pop(message.call_id, None)
        return None if request is None else (request, decode_outcome(message.outcome))

    def accept_forwarded(
        self, sender_id: str, message: TicketedRequest, now_ms: float
    ) -> CallerRequest:
        """Return a peer's forwarded request as a request of this instance."""
        request_id = FORWARDED_PREFIX + message.call_id
        self._forwarded_in[request_id] = (sender_id, message.call_id)
        return CallerRequest(
            request_id=request_id,
            customer=message.customer,
            class_name=message.class_name,
            query=message.query,
            arrived_ms=now_ms,
            deadline_ms=now_ms + message.remaining_ms - find_wait_ms(message, now_ms),
            least_coverage=1.0,
            key=message.key,
            ticket=message.ticket,
        )

    def pop_forwarded_answer(
        self, request_id: str, outcome: Outcome
    ) -> tuple[str, TicketedAnswer] | None:
        """Return the peer and the message that answers its forwarded request.

        Return None for a request of this instance's own caller.
        """
        origin = self._forwarded_in.pop(request_id, None)
        if origin is None:
            return None
        sender_id, call_id = origin
        return sender_id, TicketedAnswer(call_id, encode_outcome(outcome))

    def expire(self, now_ms: float) -> list[tuple[CallerRequest, Outcome]]:
        """Remove and return the forwarded requests and repeats that are past their deadline."""
        silent = Unknown("the instance that issued the ticket did not answer in time")
        running = Unknown("the request is still running")
        ended = _pop_expired(self._forwarded_out, now_ms, silent)
        # A repeat has its own deadline, which may be earlier than the running request's.
        return ended + _pop_expired(self._waiting_repeats, now_ms, running)

    def next_wake_ms(self) -> float | None:
        """Return the earliest deadline of a forwarded request or a waiting repeat."""
        if not self._forwarded_out and not self._waiting_repeats:
            return None
        requests = (*self._forwarded_out.values(), *self._waiting_repeats.values())
        return min((request.deadline_ms for request in requests), default=None)


def _pop_expired(
    requests: dict[str, CallerRequest], now_ms: float, outcome: Outcome
) -> list[tuple[CallerRequest, Outcome]]:
    late = [name for name, request in requests.items() if request.deadline_ms <= now_ms]
    return [(requests.pop(name), outcome) for name in late]
