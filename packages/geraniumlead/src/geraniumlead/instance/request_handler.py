"""Take callers' requests and tickets."""

from geraniumlead.actions import GiveTicket
from geraniumlead.admission import Admitted, Queued, Refused
from geraniumlead.events import TicketAsked
from geraniumlead.freshness import HeldRequests
from geraniumlead.instance.call_handler import CallHandler
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.instance.quarantine_handler import QuarantineHandler
from geraniumlead.peers import TicketedAnswer, TicketedRequest
from geraniumlead.planning import plan_query
from geraniumlead.requests import CallerRequest, NotRun, RefusalReason

REFUSAL_RETRY_AFTER_MS = 1_000.0
STALE_VIEW_RETRY_AFTER_MS = 250.0


class RequestHandler:
    """Admit requests, start their queries, and give out tickets."""

    __slots__ = ("_calls", "_parts", "held", "quarantine")

    def __init__(self, parts: InstanceParts, calls: CallHandler) -> None:
        self._parts = parts
        self._calls = calls
        self.held = HeldRequests(parts.settings.limits.queued_requests)
        self.quarantine = QuarantineHandler(parts)

    def take_request(self, request: CallerRequest, now_ms: float) -> None:
        """Start, queue, hold, forward or refuse a request."""
        # First of all: a repeat of a booking that ran may not be refused as not run, neither
        # for a view that is not confirmed nor by an instance that knows no documents yet.
        if request.ticket is not None and self._is_settled_by_ticket(request, now_ms):
            return
        if not self._parts.is_configured:
            refusal = NotRun(RefusalReason.OUT_OF_SERVICE, REFUSAL_RETRY_AFTER_MS)
            self._calls.answer(request, refusal)
            return
        if not self._parts.freshness.may_send:
            if not self.held.hold(request, now_ms):
                self._refuse_held(request)
            return
        refusal = self.quarantine.refuse(request, now_ms)
        if refusal is not None:
            self._calls.answer(request, refusal)
            return
        if request.ticket is not None:
            # Before it may wait in the queue: a repeat that found the ticket unused would be
            # queued beside it, and both would run in the end.
            self._parts.tickets.start(request)
        match self._parts.admission.offer(request, now_ms):
            case Admitted():
                self._start_query(request, now_ms)
            case Refused(reason=reason, retry_after_ms=retry_after_ms):
                self._refuse(request, NotRun(reason, retry_after_ms))
            case Queued():
                pass

    def _is_settled_by_ticket(self, request: CallerRequest, now_ms: float) -> bool:
        """Forward, answer or join what may not run here; False when it may."""
        tickets = self._parts.tickets
        if not tickets.is_own(request.ticket or ""):
            self._forward(request, now_ms)
            return True
        outcome = tickets.claim(request, now_ms)
        if outcome is not None:
            self._calls.answer(request, outcome)
            return True
        return tickets.join_running(request)

    def take_ready(self, now_ms: float) -> None:
        """Start or give up the requests whose wait is over."""
        for decision in self._parts.admission.pop_ready(now_ms):
            match decision:
                case Admitted(request=request):
                    self._start_query(request, now_ms)
                case Refused(request=request, reason=reason, retry_after_ms=retry_after_ms):
                    self._refuse(request, NotRun(reason, retry_after_ms))

    def release_held(self, now_ms: float) -> None:
        """Take the requests that waited for the view to be confirmed."""
        for request in self.held.release():
            self.take_request(request, now_ms)

    def expire_held(self, now_ms: float) -> None:
        """Refuse the held requests that can no longer end in time; nothing of them was sent."""
        for request in self.held.expire(now_ms):
            self._refuse_held(request)

    def drop_caller(self, request_id: str, now_ms: float) -> None:
        """Forget a request whose caller is gone."""
        if self.held.drop(request_id):
            return
        # A ticket's request goes on: its caller may come back for the outcome.
        if self._parts.tickets.is_ticketed(request_id):
            return
        self._parts.admission.release(request_id, now_ms)
        self._calls.run_coordination(self._parts.coordinator.drop(request_id, now_ms), now_ms)

    def give_ticket(self, event: TicketAsked, now_ms: float) -> None:
        """Give out a ticket for one request of a non-idempotent class."""
        parts = self._parts
        if not parts.is_configured:
            refusal = NotRun(RefusalReason.OUT_OF_SERVICE, REFUSAL_RETRY_AFTER_MS)
            parts.actions.append(GiveTicket(event.request_id, None, 0.0, refusal))
            return
        traffic_class = parts.class_of(event.customer, event.class_name)
        if traffic_class is None or traffic_class.idempotent:
            refusal = NotRun(RefusalReason.TICKET_INVALID, 0.0)
            parts.actions.append(GiveTicket(event.request_id, None, 0.0, refusal))
            return
        ticket = parts.tickets.issue(event.customer, event.class_name, now_ms)
        if ticket is None:
            refusal = NotRun(RefusalReason.QUEUE_FULL, REFUSAL_RETRY_AFTER_MS)
            parts.actions.append(GiveTicket(event.request_id, None, 0.0, refusal))
            return
        valid_ms = parts.settings.timing.ticket_valid_ms
        parts.actions.append(GiveTicket(event.request_id, ticket, valid_ms))

    def take_forwarded(self, sender_id: str, message: TicketedRequest, now_ms: float) -> None:
        """Take a request that a peer forwarded because its ticket was issued here."""
        request = self._parts.tickets.accept_forwarded(sender_id, message, now_ms)
        self.take_request(request, now_ms)

    def take_ticketed_answer(self, message: TicketedAnswer) -> None:
        """Answer a request that was forwarded to the issuer of its ticket."""
        ended = self._parts.tickets.take_answer(message)
        if ended is not None:
            self._calls.answer(*ended)

    def expire_forwarded(self, now_ms: float) -> None:
        """Answer the forwarded requests that no answer came for in time."""
        for request, outcome in self._parts.tickets.expire(now_ms):
            self._calls.answer(request, outcome)

    def _forward(self, request: CallerRequest, now_ms: float) -> None:
        tickets = self._parts.tickets
        issuer_id = tickets.issuer_of(request.ticket or "")
        if issuer_id is None:
            self._calls.answer(request, NotRun(RefusalReason.TICKET_INVALID, 0.0))
            return
        message, outcome = tickets.forward(request, now_ms)
        if not self._parts.send(issuer_id, message):
            tickets.drop_forwarded(message.call_id)
            self._calls.answer(request, outcome)

    def _start_query(self, request: CallerRequest, now_ms: float) -> None:
        parts = self._parts
        refusal = self.quarantine.refuse(request, now_ms)
        if refusal is not None:
            parts.admission.release(request.request_id, now_ms)
            self._refuse(request, refusal)
            return
        traffic_class = parts.class_of(request.customer, request.class_name)
        if traffic_class is None:
            self._refuse_admitted(request, RefusalReason.CONTRACT_UNKNOWN, now_ms)
            return
        if not traffic_class.idempotent and request.ticket is None:
            self._refuse_admitted(request, RefusalReason.TICKET_NEEDED, now_ms)
            return
        plan = plan_query(parts.store.view, traffic_class.service, request.key)
        if plan is None:
            self._refuse_admitted(request, RefusalReason.NO_INDEX, now_ms)
            return
        if len(plan.shards) > parts.settings.limits.fan_out_shards:
            # One such query would hold the loop, and all other callers with it.
            self._refuse_admitted(request, RefusalReason.FAN_OUT, now_ms)
            return
        steps = parts.coordinator.start(request, traffic_class, plan, now_ms)
        self._calls.run_coordination(steps, now_ms)

    def _refuse_held(self, request: CallerRequest) -> None:
        refusal = NotRun(RefusalReason.STALE_VIEW, STALE_VIEW_RETRY_AFTER_MS)
        self._calls.answer(request, refusal)

    def _refuse_admitted(
        self, request: CallerRequest, reason: RefusalReason, now_ms: float
    ) -> None:
        self._parts.admission.release(request.request_id, now_ms)
        self._refuse(request, NotRun(reason, REFUSAL_RETRY_AFTER_MS))

    def _refuse(self, request: CallerRequest, refusal: NotRun) -> None:
        """Refuse a request whose ticket, if any, was started; it may be used again."""
        self._calls.answer(request, refusal)
        if request.ticket is not None:
            for waiting in self._parts.tickets.finish(request, refusal):
                self._calls.answer(waiting, refusal)
