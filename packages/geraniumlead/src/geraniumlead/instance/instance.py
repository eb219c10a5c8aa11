from random import Random

from geraniumlead.actions import Action
from geraniumlead.events import (
    CallerDisconnected,
    DocumentsReceived,
    Event,
    PeerMessageReceived,
    PlatformReadFailed,
    QueryArrived,
    StopRequested,
    TicketRequested,
    TimerFired,
    UpstreamAnswered,
    UpstreamDisconnected,
)
from geraniumlead.instance.call_handler import CallHandler
from geraniumlead.instance.configuration_handler import ConfigurationHandler
from geraniumlead.instance.freshness_handler import FreshnessHandler
from geraniumlead.instance.heartbeat_handler import HeartbeatHandler
from geraniumlead.instance.message_times import stamp_message
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.instance.request_handler import RequestHandler
from geraniumlead.instance.status import InstanceStatus
from geraniumlead.instance.stop_handler import StopHandler
from geraniumlead.instance.upstream_report import report_services, report_upstreams
from geraniumlead.peer_messages import (
    CancelBatch,
    DocumentsRequest,
    DocumentsUpdate,
    Goodbye,
    Heartbeat,
    PeerMessage,
    Probe,
    ProbeReply,
    QuarantineNotice,
    SubqueryBatch,
    SubqueryResultBatch,
    TicketedAnswer,
    TicketedRequest,
    UpstreamNotice,
)
from geraniumlead.settings import InstanceSettings

INCARNATION_BITS = 48


class Instance:
    """An entry instance that coordinates queries, owns upstreams and follows the configuration.

    All input comes through ``handle``, with the time in milliseconds of a monotonic clock;
    all output is the returned actions. ``next_wake_ms`` returns when to call ``handle`` with
    TimerFired. This class does no I/O, reads no clock and uses no global randomness.
    """

    __slots__ = (
        "_calls",
        "_configuration",
        "_freshness",
        "_heartbeats",
        "_requests",
        "_stop",
        "_wake_ms",
        "_wake_sources",
        "parts",
    )

    def __init__(
        self,
        settings: InstanceSettings,
        random: Random,
        now_ms: float,
        incarnation: str | None = None,
    ) -> None:
        """Create an instance that has not started yet.

        ``incarnation`` identifies this run of the process. Without one it is drawn from
        ``random``, which is suitable only for virtual runs: with a fixed seed, a restarted
        process would draw the same incarnation, treat the tickets of its predecessor as its
        own, and run them again.
        """
        if incarnation is None:
            incarnation = f"{random.getrandbits(INCARNATION_BITS):012x}"
        self.parts = InstanceParts(settings, random, now_ms, incarnation)
        self._wake_ms = now_ms
        self._calls = CallHandler(self.parts)
        self._requests = RequestHandler(self.parts, self._calls)
        self._configuration = ConfigurationHandler(self.parts, self._calls)
        self._heartbeats = HeartbeatHandler(self.parts, now_ms)
        self._stop = StopHandler(self.parts, self._calls, self._requests)
        self._freshness = FreshnessHandler(
            self.parts, self._calls, self._requests, self._configuration
        )

        self._wake_sources = (
            self.parts.coordinator.next_wake_ms,
            self.parts.admission.next_wake_ms,
            self.parts.batcher.next_wake_ms,
            self.parts.dispatcher.next_wake_ms,
            self.parts.tickets.next_wake_ms,
            self.parts.freshness.next_wake_ms,
            self._requests.held.next_wake_ms,
        )

    def start(self, now_ms: float) -> list[Action]:
        """Return the first actions of the process."""
        self._configuration.start()
        return self._drain_actions()

    def handle(self, event: Event, now_ms: float) -> list[Action]:
        """Process one event and return the resulting actions in order."""
        open_queries = len(self.parts.coordinator)
        self._freshness.detect_pause(now_ms)
        self.parts.cold_start.tick(now_ms)
        self._handle_event(event, now_ms)
        # Most events are answers of single shards, after which no timer is due: only the end
        # of a query frees a slot, and all other waiting work has its own wake time.
        is_plain_answer = isinstance(event, UpstreamAnswered) and now_ms < self._wake_ms
        if not is_plain_answer or len(self.parts.coordinator) != open_queries:
            self._run_timers(now_ms)
        return self._drain_actions()

    def next_wake_ms(self) -> float:
        """Return when to call ``handle`` with TimerFired if no other event comes first."""
        wake_ms = self._heartbeats.due_ms
        for find_next_wake_ms in self._wake_sources:
            found_ms = find_next_wake_ms()
            if found_ms is not None and found_ms < wake_ms:
                wake_ms = found_ms
        self._wake_ms = wake_ms
        return self._wake_ms

    def status(self, now_ms: float) -> InstanceStatus:
        """Return the status of this instance for operators."""
        parts = self.parts
        view = parts.store.view
        upstreams = report_upstreams(parts, now_ms)
        return InstanceStatus(
            instance_id=parts.settings.instance_id,
            incarnation=parts.incarnation,
            data_centre=parts.settings.data_centre,
            ready=parts.is_ready,
            stopping=parts.lifecycle.is_stopping,
            revision=parts.store.revision,
            platform_age_ms=self._configuration.platform_freshness.age_ms(now_ms),
            refused_documents={item.key: item.reason for item in parts.store.refused},
            open_requests=len(parts.coordinator),
            peers={
                name: parts.membership.is_reachable(name, now_ms) for name in parts.membership.peers
            },
            data_centres={name: found.state for name, found in view.data_centres.items()},
            is_watcher=self._configuration.is_watching,
            queued_requests=parts.admission.queued_requests,
            ambiguous_names=tuple(sorted(view.ambiguous_names)),
            services=report_services(upstreams),
            upstreams=upstreams,
            view_unconfirmed_ms=(
                None
                if parts.freshness.is_confirmed
                else now_ms - parts.freshness.unconfirmed_since_ms
            ),
            held_requests=len(self._requests.held),
        )

    def _handle_event(self, event: Event, now_ms: float) -> None:
        match event:
            case QueryArrived(request=request):
                self._requests.handle_request(request, now_ms)
            case TicketRequested():
                self._requests.issue_ticket(event, now_ms)
            case CallerDisconnected(request_id=request_id):
                self._requests.handle_caller_disconnected(request_id, now_ms)
            case UpstreamAnswered():
                self._calls.handle_answer(event, now_ms)
            case UpstreamDisconnected(upstream_id=upstream_id):
                self._calls.handle_disconnection(upstream_id, now_ms)
            case PeerMessageReceived(sender_id=sender_id, message=message):
                self._handle_message(sender_id, message, now_ms)
            case DocumentsReceived():
                self._freshness.handle_read(event)
                self._configuration.handle_documents(event, now_ms)
            case PlatformReadFailed():
                self._configuration.handle_read_failure(event)
            case StopRequested():
                self._stop.begin(now_ms)
            case TimerFired(wall_now_s=wall_now_s):
                if wall_now_s is not None:
                    self.parts.admission.observe_wall_clock(wall_now_s, now_ms)

    def _handle_message(self, sender_id: str, message: PeerMessage, now_ms: float) -> None:
        if sender_id not in self.parts.membership.peers:
            # An unlisted sender cannot be answered, so its work would be wasted.
            return
        self.parts.membership.record_message(sender_id, now_ms)
        match message:
            case Heartbeat(sent_ms=float(sent_ms)) | SubqueryResultBatch(sent_ms=float(sent_ms)):
                self.parts.membership.record_clock(sender_id, sent_ms, now_ms)
        match message:
            case Heartbeat() | Goodbye():
                self._configuration.handle_liveness(sender_id, message, now_ms)
                if isinstance(message, Heartbeat):
                    self.parts.admission.handle_demand(sender_id, message.demand, now_ms)
                    self._requests.quarantine.handle_heartbeat(sender_id, message, now_ms)
            case DocumentsRequest():
                self._configuration.send_documents(sender_id, message)
            case DocumentsUpdate():
                self._configuration.handle_update(sender_id, message, now_ms)
            case Probe():
                self._freshness.answer_probe(sender_id, message, now_ms)
            case ProbeReply():
                self._freshness.handle_reply(sender_id, message, now_ms)
            case _:
                self._handle_work(sender_id, message, now_ms)

    def _handle_work(self, sender_id: str, message: PeerMessage, now_ms: float) -> None:
        match message:
            case SubqueryBatch():
                self._calls.handle_subqueries(sender_id, message, now_ms)
            case SubqueryResultBatch():
                self._calls.handle_results(message, now_ms)
            case CancelBatch(call_ids=call_ids):
                self._calls.cancel(call_ids, now_ms)
            case UpstreamNotice():
                self._calls.handle_notice(message, now_ms)
            case QuarantineNotice():
                self._requests.quarantine.handle_notice(message, now_ms)
            case TicketedRequest():
                self._requests.handle_forwarded(sender_id, message, now_ms)
            case TicketedAnswer():
                self._requests.handle_ticketed_answer(message)

    def _run_timers(self, now_ms: float) -> None:
        self._freshness.run(now_ms)
        self._requests.expire_held(now_ms)
        self._calls.run_coordination(self.parts.coordinator.expire(now_ms), now_ms)
        self._requests.quarantine.notify_peers(now_ms)
        self._calls.wake_dispatch(now_ms)
        self._requests.start_ready(now_ms)
        self._requests.expire_forwarded(now_ms)
        if self._heartbeats.send_if_due(
            now_ms, self._configuration.platform_freshness.age_ms(now_ms)
        ):
            self._configuration.read_if_updates_stopped(now_ms)
            self._calls.run_coordination(
                self.parts.coordinator.retry_calls_at_lost_owners(now_ms), now_ms
            )
            self._stop.exit_if_done(now_ms)
        for peer_id, message in self.parts.batcher.pop_due(now_ms):
            peer = self.parts.membership.peers.get(peer_id)
            stamped = stamp_message(message, peer, now_ms)
            if self.parts.send(peer_id, stamped) and isinstance(message, SubqueryBatch):
                self.parts.membership.record_sent(peer_id, now_ms)

    def _drain_actions(self) -> list[Action]:
        actions, self.parts.actions = self.parts.actions, []
        return actions
