"""Handle one event after another: event in, actions out."""

from random import Random

from geraniumlead.actions import (
    Action,
    AnswerCaller,
    CallUpstream,
    CancelCall,
    GiveTicket,
    ReadPlatform,
    Report,
    SendToPeer,
    StopNow,
)
from geraniumlead.admission import AdmissionController, Admitted, Queued, Refused
from geraniumlead.configuration import DocumentStore
from geraniumlead.coordination import (
    AskUpstream,
    CoordinationStep,
    DropCall,
    EndQuery,
    QueryCoordinator,
)
from geraniumlead.dispatch import Dispatcher, DispatchStep, EndCall, StartCall, StopCall
from geraniumlead.documents import TrafficClass, VersionedValue
from geraniumlead.events import (
    CallerGone,
    DocumentsReceived,
    Event,
    PeerMessageReceived,
    PlatformSilent,
    QueryArrived,
    StopRequested,
    TicketAsked,
    TimerFired,
    UpstreamAnswered,
)
from geraniumlead.instance.batcher import PeerBatcher
from geraniumlead.instance.lifecycle import Lifecycle
from geraniumlead.instance.status import InstanceStatus
from geraniumlead.instance.ticket_desk import TicketDesk
from geraniumlead.membership import Membership
from geraniumlead.ownership import OwnerTable
from geraniumlead.peers import (
    CancelBatch,
    DocumentsUpdate,
    DocumentsWanted,
    Goodbye,
    Heartbeat,
    PeerMessage,
    SubqueryBatch,
    SubqueryResult,
    SubqueryResultBatch,
    TicketedAnswer,
    TicketedRequest,
)
from geraniumlead.planning import plan_query
from geraniumlead.requests import CallerRequest, NotRun, Outcome, RefusalReason
from geraniumlead.routing import Router
from geraniumlead.settings import InstanceSettings

REFUSAL_RETRY_AFTER_MS = 1_000.0
INCARNATION_BITS = 48


class Instance:
    """Be one entry instance: coordinate queries, own upstreams, follow the configuration.

    All input comes through ``handle``, with the time in milliseconds of a monotonic clock;
    all output is the returned actions. ``next_wake_ms`` says when to call again with
    TimerFired. Nothing here does I/O, reads a clock or uses global randomness.
    """

    def __init__(self, settings: InstanceSettings, random: Random, now_ms: float) -> None:
        self.settings = settings
        self.incarnation = f"{random.getrandbits(INCARNATION_BITS):012x}"
        self.store = DocumentStore()
        self.membership = Membership(
            settings.instance_id, settings.data_centre, settings.timing.peer_timeout_ms
        )
        self.lifecycle = Lifecycle(settings.timing)
        self.admission = AdmissionController(settings.limits)
        self.router = Router(settings.instance_id, settings.data_centre, self.membership, random)
        prefix = f"{settings.instance_id}.{self.incarnation}."
        self.coordinator = QueryCoordinator(prefix, self.router)
        self.dispatcher = Dispatcher(settings.instance_id)
        self.batcher = PeerBatcher(settings.timing.batch_tick_ms)
        self.tickets = TicketDesk.from_settings(settings, self.incarnation, random)
        self._random = random
        self._heartbeat_due_ms = now_ms
        self._heartbeat_sequence = 0
        self._watching = False
        self._platform_heard_ms: float | None = None
        self._actions: list[Action] = []

    def start(self, now_ms: float) -> list[Action]:
        """Return the first actions of the process."""
        self._watching = True
        return [ReadPlatform(watch=True)]

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Take in one event and return what follows from it, in order."""
        match event:
            case QueryArrived(request=request):
                self._take_request(request, now_ms)
            case TicketAsked():
                self._give_ticket(event, now_ms)
            case CallerGone(request_id=request_id):
                self._drop_caller(request_id, now_ms)
            case UpstreamAnswered(call_id=call_id, answer=answer):
                self._run_dispatch(self.dispatcher.finish(call_id, answer, now_ms), now_ms)
            case PeerMessageReceived(sender_id=sender_id, message=message):
                self._take_message(sender_id, message, now_ms)
            case DocumentsReceived():
                self._take_documents(event, now_ms)
            case PlatformSilent(detail=detail):
                self._actions.append(Report("platform_silent", {"detail": detail}, "warning"))
            case StopRequested():
                self._begin_stop(now_ms)
            case TimerFired():
                pass
        self._run_timers(now_ms)
        actions, self._actions = self._actions, []
        return actions

    def next_wake_ms(self) -> float:
        """Return when ``handle`` wants TimerFired, if nothing happens before."""
        times = [
            self._heartbeat_due_ms,
            self.coordinator.next_wake_ms(),
            self.admission.next_wake_ms(),
            self.batcher.next_wake_ms(),
            self.tickets.next_wake_ms(),
        ]
        return min(time for time in times if time is not None)

    @property
    def is_ready(self) -> bool:
        """Return what the balancer is told."""
        in_service = self.store.view.is_data_centre_in(self.settings.data_centre)
        return self.lifecycle.is_serving and in_service

    def class_of(self, customer: str, class_name: str) -> TrafficClass | None:
        """Return a class of a contract in force."""
        contract = self.store.view.contracts.get(customer)
        classes = contract.classes if contract is not None else ()
        return next((found for found in classes if found.name == class_name), None)

    def status(self, now_ms: float) -> InstanceStatus:
        """Summarise this instance for operators."""
        heard = self._platform_heard_ms
        return InstanceStatus(
            instance_id=self.settings.instance_id,
            incarnation=self.incarnation,
            data_centre=self.settings.data_centre,
            ready=self.is_ready,
            stopping=self.lifecycle.is_stopping,
            revision=self.store.revision,
            platform_age_ms=None if heard is None else now_ms - heard,
            refused_documents={item.key: item.reason for item in self.store.refused},
            open_requests=len(self.coordinator),
            peers={
                name: self.membership.is_reachable(name, now_ms) for name in self.membership.peers
            },
            data_centres={
                name: document.state for name, document in self.store.view.data_centres.items()
            },
            is_watcher=self._watching,
        )

    # Requests

    def _take_request(self, request: CallerRequest, now_ms: float) -> None:
        if request.ticket is not None and not self.tickets.is_own(request.ticket):
            self._forward_ticketed(request, now_ms)
            return
        if request.ticket is not None:
            outcome = self.tickets.claim(request, now_ms)
            if outcome is not None:
                self._answer(request, outcome)
                return
            if self.tickets.join_running(request):
                return
        match self.admission.offer(request, now_ms):
            case Admitted():
                self._start_query(request, now_ms)
            case Refused(reason=reason, retry_after_ms=retry_after_ms):
                self._answer(request, NotRun(reason, retry_after_ms))
            case Queued():
                pass

    def _start_query(self, request: CallerRequest, now_ms: float) -> None:
        traffic_class = self.class_of(request.customer, request.class_name)
        if traffic_class is None:
            self._refuse_admitted(request, RefusalReason.CONTRACT_UNKNOWN, now_ms)
            return
        if not traffic_class.idempotent and request.ticket is None:
            self._refuse_admitted(request, RefusalReason.TICKET_NEEDED, now_ms)
            return
        plan = plan_query(self.store.view, traffic_class.service, request.key)
        if plan is None:
            self._refuse_admitted(request, RefusalReason.NO_INDEX, now_ms)
            return
        if request.ticket is not None:
            self.tickets.start(request)
        steps = self.coordinator.start(request, traffic_class, plan, now_ms)
        self._run_coordination(steps, now_ms)

    def _refuse_admitted(
        self, request: CallerRequest, reason: RefusalReason, now_ms: float
    ) -> None:
        self.admission.release(request.request_id, now_ms)
        self._answer(request, NotRun(reason, REFUSAL_RETRY_AFTER_MS))

    def _drop_caller(self, request_id: str, now_ms: float) -> None:
        # A ticket's request goes on: its caller may come back for the outcome.
        if self.tickets.is_ticketed(request_id):
            return
        self.admission.release(request_id, now_ms)
        self._run_coordination(self.coordinator.drop(request_id), now_ms)

    def _answer(self, request: CallerRequest, outcome: Outcome) -> None:
        self._actions.append(
            AnswerCaller(
                request_id=request.request_id,
                customer=request.customer,
                class_name=request.class_name,
                outcome=outcome,
                arrived_ms=request.arrived_ms,
            )
        )

    def _end_query(self, step: EndQuery, now_ms: float) -> None:
        request = step.request
        self.admission.release(request.request_id, now_ms)
        self._actions.append(
            AnswerCaller(
                request_id=request.request_id,
                customer=request.customer,
                class_name=request.class_name,
                outcome=step.outcome,
                arrived_ms=request.arrived_ms,
                queued_ms=step.queued_ms,
                subqueries=step.subqueries,
                extra_subqueries=step.extra_subqueries,
            )
        )
        if request.ticket is not None:
            for waiting in self.tickets.finish(request, step.outcome):
                self._answer(waiting, step.outcome)

    # Tickets

    def _give_ticket(self, event: TicketAsked, now_ms: float) -> None:
        traffic_class = self.class_of(event.customer, event.class_name)
        if traffic_class is None or traffic_class.idempotent:
            refusal = NotRun(RefusalReason.TICKET_INVALID, 0.0)
            self._actions.append(GiveTicket(event.request_id, None, 0.0, refusal))
            return
        ticket = self.tickets.issue(event.customer, event.class_name, now_ms)
        valid_ms = self.settings.timing.ticket_valid_ms
        self._actions.append(GiveTicket(event.request_id, ticket, valid_ms))

    def _forward_ticketed(self, request: CallerRequest, now_ms: float) -> None:
        issuer_id = self.tickets.issuer_of(request.ticket or "")
        if issuer_id is None:
            self._answer(request, NotRun(RefusalReason.TICKET_INVALID, 0.0))
            return
        message, outcome = self.tickets.forward(request, now_ms)
        if not self._send(issuer_id, message):
            self.tickets.drop_forwarded(message.call_id)
            self._answer(request, outcome)

    def _take_forwarded(self, sender_id: str, message: TicketedRequest, now_ms: float) -> None:
        self._take_request(self.tickets.accept_forwarded(sender_id, message, now_ms), now_ms)

    def _take_ticketed_answer(self, message: TicketedAnswer) -> None:
        ended = self.tickets.take_answer(message)
        if ended is not None:
            self._answer(*ended)

    # Upstreams

    def _run_coordination(self, steps: list[CoordinationStep], now_ms: float) -> None:
        for step in steps:
            match step:
                case AskUpstream(subquery=subquery, route=route):
                    if route.owner_id is None:
                        self._run_dispatch(self.dispatcher.submit(subquery, None, now_ms), now_ms)
                    else:
                        self.batcher.add_subquery(route.owner_id, subquery, now_ms)
                case DropCall(call_id=call_id, route=route):
                    if route.owner_id is None:
                        stopped = self.dispatcher.cancel(call_id, route.upstream_id, now_ms)
                        self._run_dispatch(stopped, now_ms)
                    else:
                        self.batcher.add_cancel(route.owner_id, call_id, now_ms)
                case EndQuery():
                    self._end_query(step, now_ms)

    def _run_dispatch(self, steps: list[DispatchStep], now_ms: float) -> None:
        for step in steps:
            match step:
                case StartCall(subquery=subquery, entry=entry):
                    self._actions.append(
                        CallUpstream(
                            subquery.call_id,
                            entry.address,
                            subquery,
                            step.timeout_ms,
                            step.connections,
                        )
                    )
                case StopCall(call_id=call_id):
                    self._actions.append(CancelCall(call_id))
                case EndCall(origin=None, call_id=call_id, answer=answer):
                    ended = self.coordinator.finish_call(call_id, answer, now_ms)
                    self._run_coordination(ended, now_ms)
                case EndCall(origin=origin, call_id=call_id, answer=answer):
                    self.batcher.add_result(origin, SubqueryResult(call_id, answer), now_ms)

    # Peers

    def _take_message(self, sender_id: str, message: PeerMessage, now_ms: float) -> None:
        match message:
            case Heartbeat() | Goodbye():
                self._take_sign_of_life(sender_id, message, now_ms)
            case DocumentsWanted(above_revision=above):
                documents = self.store.documents_above(above)
                self._send(sender_id, DocumentsUpdate(self.store.revision, documents))
            case DocumentsUpdate(revision=revision, documents=documents):
                self._apply_documents(documents, revision, False, now_ms)
            case SubqueryBatch(subqueries=subqueries):
                for subquery in subqueries:
                    steps = self.dispatcher.submit(subquery, sender_id, now_ms)
                    self._run_dispatch(steps, now_ms)
            case SubqueryResultBatch(results=results):
                for result in results:
                    steps = self.coordinator.finish_call(result.call_id, result.answer, now_ms)
                    self._run_coordination(steps, now_ms)
            case CancelBatch(call_ids=call_ids):
                for call_id in call_ids:
                    self._run_dispatch(self.dispatcher.cancel(call_id, "", now_ms), now_ms)
            case TicketedRequest():
                self._take_forwarded(sender_id, message, now_ms)
            case TicketedAnswer():
                self._take_ticketed_answer(message)

    def _take_sign_of_life(
        self, sender_id: str, message: Heartbeat | Goodbye, now_ms: float
    ) -> None:
        peer = self.membership.hear(sender_id, message, now_ms)
        if peer is not None and peer.revision > self.store.revision:
            self._send(sender_id, DocumentsWanted(self.store.revision))

    def _send(self, instance_id: str, message: PeerMessage) -> bool:
        peer = self.membership.peers.get(instance_id)
        if peer is None:
            return False
        entry = peer.entry
        self._actions.append(
            SendToPeer(instance_id, entry.peer_address, message, entry.peer_public_key)
        )
        return True

    # Configuration

    def _take_documents(self, event: DocumentsReceived, now_ms: float) -> None:
        self._platform_heard_ms = now_ms
        taken = self._apply_documents(event.documents, event.revision, event.is_snapshot, now_ms)
        if taken:
            for peer in self.membership.local_peers():
                self._send(peer.entry.instance_id, DocumentsUpdate(self.store.revision, taken))

    def _apply_documents(
        self,
        documents: tuple[VersionedValue, ...],
        revision: int,
        is_snapshot: bool,
        now_ms: float,
    ) -> tuple[VersionedValue, ...]:
        change = self.store.apply(documents, revision, is_snapshot)
        for refused in change.refused:
            fields = {"key": refused.key, "revision": refused.revision, "reason": refused.reason}
            self._actions.append(Report("document_refused", fields, "error"))
        if change.taken:
            self._adopt_view(now_ms)
            fields = {"revision": self.store.revision, "documents": len(change.taken)}
            self._actions.append(Report("configuration_in_force", fields))
        return change.taken

    def _adopt_view(self, now_ms: float) -> None:
        view = self.store.view
        owners = OwnerTable(view)
        self.membership.update(view)
        self.admission.update(view)
        self.router.update(view, owners)
        self.coordinator.update(view)
        self._run_dispatch(self.dispatcher.update(view, owners, now_ms), now_ms)
        self.lifecycle.note_configured()
        wanted = self.membership.is_watcher()
        if wanted != self._watching:
            self._watching = wanted
            self._actions.append(ReadPlatform(watch=wanted, stop=not wanted))

    # Time

    def _run_timers(self, now_ms: float) -> None:
        self._run_coordination(self.coordinator.expire(now_ms), now_ms)
        for decision in self.admission.take_ready(now_ms):
            match decision:
                case Admitted(request=request):
                    self._start_query(request, now_ms)
                case Refused(request=request, reason=reason, retry_after_ms=retry_after_ms):
                    self._answer(request, NotRun(reason, retry_after_ms))
        for request, outcome in self.tickets.expire(now_ms):
            self._answer(request, outcome)
        if now_ms >= self._heartbeat_due_ms:
            self._beat(now_ms)
        for peer_id, message in self.batcher.take_due(now_ms):
            self._send(peer_id, message)
        self._answer_forwarders()

    def _beat(self, now_ms: float) -> None:
        self._heartbeat_due_ms = now_ms + self.settings.timing.heartbeat_interval_ms
        self._heartbeat_sequence += 1
        heartbeat = Heartbeat(
            incarnation=self.incarnation,
            data_centre=self.settings.data_centre,
            sequence=self._heartbeat_sequence,
            revision=self.store.revision,
            ready=self.is_ready,
        )
        for instance_id in self.membership.peers:
            self._send(instance_id, heartbeat)
        open_requests = len(self.coordinator)
        if self.lifecycle.may_exit(open_requests, now_ms):
            self._actions.append(StopNow(open_requests))

    def _begin_stop(self, now_ms: float) -> None:
        if not self.lifecycle.ask_stop(now_ms):
            return
        for instance_id in self.membership.peers:
            self._send(instance_id, Goodbye(self.incarnation))

    def _answer_forwarders(self) -> None:
        # Answers to forwarded requests leave as messages, not to a caller of this instance.
        kept: list[Action] = []
        for action in self._actions:
            match action:
                case AnswerCaller(request_id=request_id, outcome=outcome):
                    forwarded = self.tickets.take_forwarded(request_id, outcome)
                    if forwarded is None:
                        kept.append(action)
                        continue
                    sender_id, message = forwarded
                    self._send_into(kept, sender_id, message)
                case _:
                    kept.append(action)
        self._actions = kept

    def _send_into(self, actions: list[Action], instance_id: str, message: PeerMessage) -> None:
        peer = self.membership.peers.get(instance_id)
        if peer is not None:
            entry = peer.entry
            actions.append(
                SendToPeer(instance_id, entry.peer_address, message, entry.peer_public_key)
            )
