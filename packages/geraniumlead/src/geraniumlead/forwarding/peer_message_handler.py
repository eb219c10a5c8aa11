from math import isfinite
from random import Random

from msgspec.structs import replace

from geraniumlead.forwarding.actions import (
    ForwardingAction,
    HandleStoreMessage,
    LogDecision,
    PeerReply,
    RenewConnection,
)
from geraniumlead.forwarding.crash_reporter import CrashReporter
from geraniumlead.forwarding.delegation_tracker import Lateness, find_delegated_route
from geraniumlead.forwarding.events import PeerMessageReceived
from geraniumlead.forwarding.forwarded_request import compute_fingerprint
from geraniumlead.forwarding.published_state import PublishedState
from geraniumlead.forwarding.request_runner import RequestRunner
from geraniumlead.peering import (
    CrashReports,
    DelegatedReply,
    DelegatedRequest,
    DelegationAcknowledged,
    DelegationCancelled,
    DelegationHedged,
    Goodbye,
    Hello,
    KnownPeer,
    PeerDirectory,
    PeeringMessage,
    ProcessId,
    ProcessMatch,
    StateRequest,
    StoreUpdates,
    is_kept,
)
from geraniumlead.peering.outgoing_peer_message import OutgoingPeerMessage

MAX_LOGGED_PEERS = 20
"""Maximum number of live peers named in a log entry; it always has their count."""

MAX_TIME_OF_DAY_DIFFERENCE_MS = 250.0
"""By how much the times of day of two instances may differ. They are compared only at the first
request between two instances, and one that is declined wrongly tells its sender the right clock."""

MIN_TIME_LEFT_MS = 2.0
"""Least time left with which a delegated request is served; hardly any upstream is faster."""

MAX_CLOCK_ERROR_MS = 50.0
"""By how much the end of a request may seem later than its time left allows. An end on the clock of
another start of this machine is later, or long past."""

COUNT_INTERVAL_MS = 500.0
"""Interval at which the live instances are counted: counting looks at every peer, and a peer counts
as gone only after seconds."""


MESSAGE_DROPPED = "peer_message_dropped"
"""Event of a message that was of or for a process that is gone, or of a request that has ended."""

HAS_ENDED = "ended"
"""Reason for which a request is dropped that came after its cancellation, or once more."""


class PeerMessageHandler:
    """Handles the messages of peers, and sends them what is due.

    It starts the requests that peers delegate to this instance.
    """

    __slots__ = (
        "_actions",
        "_count_due_ms",
        "_crashes",
        "_last_counted",
        "_published",
        "_runner",
        "directory",
    )

    def __init__(
        self,
        directory: PeerDirectory,
        runner: RequestRunner,
        published: PublishedState,
        actions: list[ForwardingAction],
        random: Random,
    ) -> None:
        self._runner = runner
        self._crashes = CrashReporter(runner.crashes, directory, random, actions)
        self._published = published
        self._actions = actions
        self._last_counted: tuple[int, list[str], bool] = (0, [], False)
        self._count_due_ms = float("-inf")
        self.directory = directory

    def handle(self, event: PeerMessageReceived, now_ms: float, is_ready: bool) -> None:
        """Handle one message of a peer, unless it is of or for a process that is gone."""
        directory = self.directory
        match = directory.match_processes(event.sender_id, event.message, event.envelope, now_ms)
        if is_kept(event.message, match):
            self._handle_kept(event, match, now_ms, is_ready)
        else:
            self._log_dropped(event, match)
        if match is not ProcessMatch.PRESENT:
            self._introduce(event.sender_id, now_ms, is_ready)
        self._drop_requests_of_gone(now_ms)

    def _handle_kept(
        self, event: PeerMessageReceived, match: ProcessMatch, now_ms: float, is_ready: bool
    ) -> None:
        sender = self._sender_of(event)
        sender_id, message = event.sender_id, event.message
        tracker = self._runner.delegated.tracker
        match message:
            case Hello():
                self._handle_hello(sender_id, _for_match(message, match), now_ms, is_ready)
            case Goodbye():
                self.directory.handle_goodbye(sender_id, message)
            case DelegatedRequest():
                self._serve_delegated(sender, event, message, now_ms, is_ready)
            case DelegationAcknowledged(number=number, sent_ms=sent_ms):
                self.directory.record_response(sender_id, sent_ms, now_ms)
                tracker.record_acknowledgement(number, sender_id, now_ms)
            case DelegatedReply(sent_ms=sent_ms):
                self.directory.record_response(sender_id, sent_ms, now_ms)
                delegation = tracker.handle_reply(message, sender_id, now_ms)
                if delegation is not None:
                    self._runner.handle_delegated_reply(delegation, message, now_ms)
            case CrashReports():
                self._crashes.handle_reports(sender_id, message, now_ms)
            case DelegationCancelled() | DelegationHedged():
                self._handle_delegation_change(sender, message, now_ms)
            case StateRequest() | StoreUpdates():
                self._actions.append(HandleStoreMessage(sender, message))

    def _handle_hello(self, sender_id: str, hello: Hello, now_ms: float, is_ready: bool) -> None:
        self._actions.append(RenewConnection(sender_id, hello.running_ms))
        for peer in self.directory.handle_hello(hello, now_ms):
            self._send_hello(peer, now_ms, is_ready)
        self._crashes.handle_hello(hello, now_ms)

    def _send_hello(self, peer: KnownPeer, now_ms: float, is_ready: bool) -> None:
        version = self._configuration_version()
        self._actions.append(self.directory.create_hello(peer, version, is_ready, now_ms))

    def _sender_of(self, event: PeerMessageReceived) -> ProcessId:
        """Return the process that sent a message, as far as it is known."""
        if event.envelope.sender:
            return ProcessId(event.sender_id, event.envelope.sender)
        peer = self.directory.peers.get(event.sender_id)
        return ProcessId(event.sender_id) if peer is None else peer.process

    def _introduce(self, instance_id: str, now_ms: float, is_ready: bool) -> None:
        """Send a hello to a peer that takes this process for another, or is taken for another."""
        if self.directory.should_introduce(instance_id, now_ms):
            self._send_hello(self.directory.peers[instance_id], now_ms, is_ready)

    def _drop_requests_of_gone(self, now_ms: float) -> None:
        """Cancel the work for processes that others have replaced: nobody waits for it."""
        for process in self.directory.drain_replaced():
            for key in self._runner.delegated.registry.pop_keys_of(process):
                self._runner.drop(key, now_ms)

    def _log_dropped(self, event: PeerMessageReceived, match: ProcessMatch) -> None:
        fields = {
            "peer": event.sender_id,
            "kind": type(event.message).__name__,
            "reason": match.value,
            "sender": event.envelope.sender,
            "receiver": event.envelope.receiver,
        }
        match event.message:
            case DelegatedRequest(request_id=request_id):
                fields["request_id"] = request_id
            case DelegatedReply(number=number) | DelegationAcknowledged(number=number):
                fields["number"] = number
            case DelegationCancelled(number=number) | DelegationHedged(number=number):
                fields["number"] = number
        self._actions.append(LogDecision(MESSAGE_DROPPED, fields, "warning"))

    def wake(self, now_ms: float, is_ready: bool) -> None:
        """Send due hellos and crash reports, handle overdue delegations and count the instances."""
        self._actions += self.directory.pop_due_hellos(
            self._configuration_version(), is_ready, now_ms
        )
        for delegation in self._runner.delegated.tracker.pop_overdue(now_ms):
            fields = {
                "peer": delegation.peer.contact.instance_id,
                "request_id": delegation.open_request.request.request_id,
                "waited_ms": round(now_ms - delegation.sent_ms, 1),
                "late": delegation.lateness.value,
            }
            self._actions.append(LogDecision("peer_silent", fields, "warning"))
            if delegation.lateness is Lateness.GIVEN_UP:
                self._runner.reclaim_delegated(delegation, "peer silent", now_ms)
            else:
                self._runner.hedge_delegated(delegation, now_ms)
        self._crashes.wake(now_ms)
        if now_ms >= self._count_due_ms:
            self._count_due_ms = now_ms + COUNT_INTERVAL_MS
            self._count_instances(now_ms)

    def next_wake_ms(self) -> float:
        """Return when ``wake`` has to be called."""
        return min(
            self.directory.next_wake_ms(),
            self._crashes.next_wake_ms(),
            self._runner.delegated.tracker.next_wake_ms(),
        )

    def send_goodbye(self, now_ms: float) -> None:
        """Notify peers that this instance takes no new requests."""
        self._actions += self.directory.create_goodbyes(now_ms)

    def address_reply(self, action: ForwardingAction) -> ForwardingAction | None:
        """Return a reply to a peer as an addressed message, and any other action unchanged.

        A reply to an unknown peer is dropped: the result is None.
        """
        match action:
            case PeerReply(receiver=receiver, message=message):
                return self._address_message(receiver, message)
        return action

    def _serve_delegated(
        self,
        sender: ProcessId,
        event: PeerMessageReceived,
        message: DelegatedRequest,
        now_ms: float,
        is_ready: bool,
    ) -> None:
        if message.sender is not None:
            self.directory.add_contact(message.sender, now_ms)
        if self._is_duplicate(sender, message, now_ms):
            return
        if self._runner.delegated.registry.has_ended(sender, message):
            fields = {
                "peer": sender.instance_id,
                "kind": type(message).__name__,
                "reason": HAS_ENDED,
                "request_id": message.request_id,
            }
            self._actions.append(LogDecision(MESSAGE_DROPPED, fields, "warning"))
            return
        waited_ms = _waited_ms(message, event.way_ms, now_ms)
        configuration = self._published.configuration
        route = find_delegated_route(message, configuration)
        if route is None or configuration is None or not is_ready:
            self._decline(sender, message, now_ms)
            return
        if message.time_left_ms - waited_ms < MIN_TIME_LEFT_MS:
            self._decline_late(sender, message, waited_ms, now_ms)
            return
        if self._is_crashing(message):
            # The sender has to know why before it sends the shards to upstreams itself.
            self._actions.append(PeerReply(sender, self._build_crash_reports(message, now_ms)))
            self._decline(sender, message, now_ms)
            return
        acknowledged = DelegationAcknowledged(message.number, now_ms)
        self._actions.append(PeerReply(sender, acknowledged))
        request = self._runner.delegated.registry.register(sender, message, waited_ms, now_ms)
        self._runner.start(request, route, configuration, now_ms)

    def _is_duplicate(self, sender: ProcessId, message: DelegatedRequest, now_ms: float) -> bool:
        """Return whether a request is being served already.

        Failure: the processes of a peer of an older version cannot be told apart, and the new one
        gives the numbers of the earlier one again. The request of the earlier one is dropped.
        """
        registry = self._runner.delegated.registry
        key = registry.find_key(sender, message.number)
        if key is None:
            return False
        if self._runner.find_request_id(key) == message.request_id:
            return True
        registry.pop_key(sender, message.number)
        self._runner.drop(key, now_ms)
        return False

    def _is_crashing(self, message: DelegatedRequest) -> bool:
        """Return whether a peer's request is refused here since it crashes upstreams."""
        crashes = self._runner.crashes
        return bool(crashes) and crashes.is_quarantined(_fingerprint_of(message))

    def _build_crash_reports(self, message: DelegatedRequest, now_ms: float) -> CrashReports:
        return self._crashes.build_message([_fingerprint_of(message)], now_ms)

    def _decline(self, sender: ProcessId, message: DelegatedRequest, now_ms: float) -> None:
        self._runner.delegated.registry.record_declined(sender, message)
        declined = DelegatedReply(message.number, is_declined=True, sent_ms=now_ms)
        self._actions.append(PeerReply(sender, declined))

    def _decline_late(
        self, sender: ProcessId, message: DelegatedRequest, waited_ms: float, now_ms: float
    ) -> None:
        """Decline a request that was held up until its end.

        Failure: the network between two instances is cut for seconds, or this one stands still.
        The message comes later, its cancellation is lost or still to come, and upstreams work for
        a caller who has long left.
        """
        fields = {
            "peer": sender.instance_id,
            "request_id": message.request_id,
            "time_left_ms": round(message.time_left_ms, 1),
            "waited_ms": round(waited_ms, 1) if isfinite(waited_ms) else None,
        }
        self._actions.append(LogDecision("delegated_too_late", fields, "warning"))
        self._decline(sender, message, now_ms)

    def _handle_delegation_change(
        self, sender: ProcessId, message: DelegationCancelled | DelegationHedged, now_ms: float
    ) -> None:
        """Handle a message about a request that its sender has delegated to this instance."""
        registry = self._runner.delegated.registry
        match message:
            case DelegationCancelled(number=number):
                key = registry.cancel(sender, number)
                if key is not None:
                    self._runner.drop(key, now_ms)
            case DelegationHedged(number=number):
                key = registry.find_key(sender, number)
                if key is not None:
                    self._runner.mark_hedged(key)

    def _count_instances(self, now_ms: float) -> None:
        count = self.directory.instance_count(now_ms)
        live_ids = [peer.contact.instance_id for peer in self.directory.live(now_ms)]
        is_known = self.directory.is_count_known(now_ms)
        if (count, live_ids, is_known) != self._last_counted:
            self._last_counted = count, live_ids, is_known
            self._runner.set_instances(count, [*live_ids, self.directory.own_id], is_known)
            fields = {
                "instances": count,
                "is_count_known": is_known,
                "live": len(live_ids),
                "live_peers": live_ids[:MAX_LOGGED_PEERS],
            }
            self._actions.append(LogDecision("peers", fields))

    def _address_message(
        self, receiver: ProcessId, message: PeeringMessage
    ) -> OutgoingPeerMessage | None:
        peer = self.directory.peers.get(receiver.instance_id)
        return None if peer is None else peer.address_message(message, receiver.incarnation)

    def _configuration_version(self) -> int:
        configuration = self._published.configuration
        return 0 if configuration is None else configuration.version


def _fingerprint_of(message: DelegatedRequest) -> int:
    return compute_fingerprint(message.method, message.host, message.target, message.body)


def _for_match(hello: Hello, match: ProcessMatch) -> Hello:
    """Return a hello without its echo if that is a time of an earlier process's clock."""
    if match is ProcessMatch.PRESENT:
        return hello
    return replace(hello, echo_ms=None, held_ms=0.0)


def _waited_ms(message: DelegatedRequest, way_ms: float | None, now_ms: float) -> float:
    """Return how much later than expected a request came; 0 if neither clock can tell.

    It is infinite if the request's end is a time of another clock than this one.

    Failure: the sender does not know yet that this machine has restarted, and a request that
    waited for it meanwhile was served although its caller had left.
    """
    if message.end_ms is not None:
        left_ms = message.end_ms - now_ms
        if left_ms > message.time_left_ms + MAX_CLOCK_ERROR_MS:
            return float("inf")
        return max(0.0, message.time_left_ms - left_ms)
    if way_ms is not None:
        return max(0.0, way_ms - MAX_TIME_OF_DAY_DIFFERENCE_MS)
    return 0.0
