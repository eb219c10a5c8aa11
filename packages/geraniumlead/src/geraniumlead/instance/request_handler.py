from geraniumlead.actions import AnswerTicketRequest
from geraniumlead.admission import Admitted, Queued, Refused
from geraniumlead.events import TicketRequested
from geraniumlead.freshness import HeldRequests
from geraniumlead.instance.call_handler import CallHandler
from geraniumlead.instance.message_times import stamp_message
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.instance.quarantine_handler import QuarantineHandler
from geraniumlead.peer_messages import TicketedAnswer, TicketedRequest
from geraniumlead.planning import plan_query
from geraniumlead.requests import CallerRequest, NotRun, RefusalReason

REFUSAL_RETRY_AFTER_MS = 1_000.0
STALE_VIEW_RETRY_AFTER_MS = 250.0


class RequestHandler:
    """Admits requests, starts their queries and issues tickets."""

    __slots__ = ("_calls", "_parts", "held", "quarantine")

    def __init__(self, parts: InstanceParts, calls: CallHandler) -> None:
        self._parts = parts
        self._calls = calls
        self.held = HeldRequests(parts.settings.limits.queued_requests)
        self.quarantine = QuarantineHandler(parts)

    def handle_request(self, request: CallerRequest, now_ms: float) -> None:
        """Start, queue, hold, forward or refuse a request."""
        # The ticket is checked first: a repeat of a booking that ran must not be refused as
        # "not run", neither for an unconfirmed view nor by an instance without documents.
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
        refusal = self.quarantine.find_refusal(request, now_ms)
        if refusal is not None:
            self._calls.answer(request, refusal)
            return
        if request.ticket is not None:
            # Mark the ticket as used before the request can be queued: a repeat that found the
            # ticket unused would be queued as well, and both would run.
            self._parts.tickets.start(request)
        match self._parts.admission.offer(request, now_ms):
            case Admitted():
                self._start_query(request, now_ms)
            case Refused(reason=reason, retry_after_ms=retry_after_ms):
                self._refuse(request, NotRun(reason, retry_after_ms))
            case Queued():
                pass

    def _is_settled_by_ticket(self, request: CallerRequest, now_ms: float) -> bool:
        """Forward, answer or join a request that must not run here; return False if it may run."""
        tickets = self._parts.tickets
        if not tickets.is_own(request.ticket or ""):
            self._forward(request, now_ms)
            return True
        outcome = tickets.claim(request, now_ms)
        if outcome is not None:
            self._calls.answer(request, outcome)
            return True
        return tickets.join_running(request)

    def start_ready(self, now_ms: float) -> None:
        """Start or refuse the queued requests that admission returns."""
        for decision in self._parts.admission.pop_ready(now_ms):
            match decision:
                case Admitted(request=request):
                    self._start_query(request, now_ms)
                case Refused(request=request, reason=reason, retry_after_ms=retry_after_ms):
                    self._refuse(request, NotRun(reason, retry_after_ms))

    def release_held(self, now_ms: float) -> None:
        """Process the requests that were held until the view was confirmed."""
        for request in self.held.release():
            self.handle_request(request, now_ms)

    def expire_held(self, now_ms: float) -> None:
        """Refuse the held requests that can no longer finish in time; no subquery was sent."""
        for request in self.held.expire(now_ms):
            self._refuse_held(request)

    def handle_caller_disconnected(self, request_id: str, now_ms: float) -> None:
        """Cancel a request whose caller disconnected."""
        if self.held.drop(request_id):
            return
        # A request with a ticket continues: its caller may ask for the outcome again.
        if self._parts.tickets.has_ticket(request_id):
            return
        self._parts.admission.release(request_id, now_ms)
        self._calls.run_coordination(self._parts.coordinator.cancel(request_id, now_ms), now_ms)

    def issue_ticket(self, event: TicketRequested, now_ms: float) -> None:
        """Issue or refuse a ticket for one request of a non-idempotent class."""
        parts = self._parts
        if not parts.is_configured:
            refusal = NotRun(RefusalReason.OUT_OF_SERVICE, REFUSAL_RETRY_AFTER_MS)
            parts.actions.append(AnswerTicketRequest(event.request_id, None, 0.0, refusal))
            return
        traffic_class = parts.find_traffic_class(event.customer, event.class_name)
        if traffic_class is None or traffic_class.idempotent:
            refusal = NotRun(RefusalReason.TICKET_INVALID, 0.0)
            parts.actions.append(AnswerTicketRequest(event.request_id, None, 0.0, refusal))
            return
        ticket = parts.tickets.issue(event.customer, event.class_name, now_ms)
        if ticket is None:
            refusal = NotRun(RefusalReason.QUEUE_FULL, REFUSAL_RETRY_AFTER_MS)
            parts.actions.append(AnswerTicketRequest(event.request_id, None, 0.0, refusal))
            return
        valid_ms = parts.settings.timing.ticket_valid_ms
        parts.actions.append(AnswerTicketRequest(event.request_id, ticket, valid_ms))

    def handle_forwarded(self, sender_id: str, message: TicketedRequest, now_ms: float) -> None:
        """Process a request that a peer forwarded because this instance issued its ticket."""
        request = self._parts.tickets.accept_forwarded(sender_id, message, now_ms)
        self.handle_request(request, now_ms)

    def handle_ticketed_answer(self, message: TicketedAnswer) -> None:
        """Send the caller the answer of the instance that issued the ticket."""
        ended = self._parts.tickets.handle_answer(message)
        if ended is not None:
            self._calls.answer(*ended)

    def expire_forwarded(self, now_ms: float) -> None:
        """Answer the forwarded requests and waiting repeats that reached their deadline."""
        for request, outcome in self._parts.tickets.expire(now_ms):
            self._calls.answer(request, outcome)

    def _forward(self, request: CallerRequest, now_ms: float) -> None:
        tickets = self._parts.tickets
        issuer_id = tickets.issuer_of(request.ticket or "")
        if issuer_id is None:
            self._calls.answer(request, NotRun(RefusalReason.TICKET_INVALID, 0.0))
            return
        message, outcome = tickets.forward(request, now_ms)
        issuer = self._parts.membership.peers.get(issuer_id)
        if not self._parts.send(issuer_id, stamp_message(message, issuer, now_ms)):
            tickets.drop_forwarded(message.call_id)
            self._calls.answer(request, outcome)

    def _start_query(self, request: CallerRequest, now_ms: float) -> None:
        parts = self._parts
        refusal = self.quarantine.find_refusal(request, now_ms)
        if refusal is not None:
            parts.admission.release(request.request_id, now_ms)
            self._refuse(request, refusal)
            return
        traffic_class = parts.find_traffic_class(request.customer, request.class_name)
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
            # A single query of this size would block the event loop, and with it all other callers.
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
        """Refuse a request; its ticket, if any, becomes unused again."""
        self._calls.answer(request, refusal)
        if request.ticket is not None:
            for waiting in self._parts.tickets.finish(request, refusal):
                self._calls.answer(waiting, refusal)
