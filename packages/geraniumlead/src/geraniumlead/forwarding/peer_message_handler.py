from random import Random

from geraniumlead.forwarding.actions import ForwardingAction, LogDecision, PeerReply
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
    PeerDirectory,
    PeeringMessage,
)
from geraniumlead.peering.outgoing_peer_message import OutgoingPeerMessage

MAX_LOGGED_PEERS = 20
"""Maximum number of live peers named in a log entry; it always has their count."""

MAX_TIME_OF_DAY_DIFFERENCE_MS = 250.0
"""By how much the times of day of two instances may differ. They are compared only at the first
request between two instances, and one that is declined wrongly tells its sender the right clock."""

MIN_TIME_LEFT_MS = 2.0
"""Least time left with which a delegated request is served; hardly any upstream is faster."""

COUNT_INTERVAL_MS = 500.0
"""Interval at which the live instances are counted: counting looks at every peer, and a peer counts
as gone only after seconds."""


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
        self._last_counted: tuple[int, list[str]] = (0, [])
        self._count_due_ms = float("-inf")
        self.directory = directory

    def handle(self, event: PeerMessageReceived, now_ms: float, is_ready: bool) -> None:
        """Handle one message of a peer."""
        sender_id, message = event.sender_id, event.message
        match message:
            case Hello():
                for peer in self.directory.handle_hello(message, now_ms):
                    hello = self.directory.create_hello(
                        peer, self._configuration_version(), is_ready, now_ms
                    )
                    self._actions.append(hello)
                self._crashes.handle_hello(message, now_ms)
            case Goodbye():
                self.directory.handle_goodbye(sender_id, message)
            case DelegatedRequest():
                waited_ms = _waited_ms(message, event.way_ms, now_ms)
                self._serve_delegated(sender_id, message, waited_ms, now_ms, is_ready)
            case DelegationAcknowledged(number=number, sent_ms=sent_ms):
                self.directory.record_response(sender_id, sent_ms, now_ms)
                self._runner.delegated.tracker.record_acknowledgement(number, now_ms)
            case DelegatedReply(number=number, sent_ms=sent_ms):
                self.directory.record_response(sender_id, sent_ms, now_ms)
                delegation = self._runner.delegated.tracker.handle_reply(number, message, now_ms)
                if delegation is not None:
                    self._runner.handle_delegated_reply(delegation, message, now_ms)
            case CrashReports():
                self._crashes.handle_reports(sender_id, message, now_ms)
            case DelegationCancelled() | DelegationHedged():
                self._handle_delegation_change(sender_id, message, now_ms)

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
            case PeerReply(sender_id=sender_id, message=message):
                return self._address_message(sender_id, message)
        return action

    def _serve_delegated(
        self,
        sender_id: str,
        message: DelegatedRequest,
        waited_ms: float,
        now_ms: float,
        is_ready: bool,
    ) -> None:
        if message.sender is not None:
            self.directory.add_contact(message.sender, now_ms)
        configuration = self._published.configuration
        route = find_delegated_route(message, configuration)
        if route is None or configuration is None or not is_ready:
            self._decline(sender_id, message, now_ms)
            return
        if message.time_left_ms - waited_ms < MIN_TIME_LEFT_MS:
            self._decline_late(sender_id, message, waited_ms, now_ms)
            return
        if self._is_crashing(message):
            # The sender has to know why before it sends the shards to upstreams itself.
            self._actions.append(PeerReply(sender_id, self._build_crash_reports(message, now_ms)))
            self._decline(sender_id, message, now_ms)
            return
        acknowledged = DelegationAcknowledged(message.number, now_ms)
        self._actions.append(PeerReply(sender_id, acknowledged))
        request = self._runner.delegated.registry.register(sender_id, message, waited_ms, now_ms)
        self._runner.start(request, route, configuration, now_ms)

    def _is_crashing(self, message: DelegatedRequest) -> bool:
        """Return whether a peer's request is refused here since it crashes upstreams."""
        crashes = self._runner.crashes
        return bool(crashes) and crashes.is_quarantined(_fingerprint_of(message))

    def _build_crash_reports(self, message: DelegatedRequest, now_ms: float) -> CrashReports:
        return self._crashes.build_message([_fingerprint_of(message)], now_ms)

    def _decline(self, sender_id: str, message: DelegatedRequest, now_ms: float) -> None:
        declined = DelegatedReply(message.number, is_declined=True, sent_ms=now_ms)
        self._actions.append(PeerReply(sender_id, declined))

    def _decline_late(
        self, sender_id: str, message: DelegatedRequest, waited_ms: float, now_ms: float
    ) -> None:
        """Decline a request that was held up until its end.

        Failure: the network between two instances is cut for seconds, or this one stands still.
        The message comes later, its cancellation is lost or still to come, and upstreams work for
        a caller who has long left.
        """
        fields = {
            "peer": sender_id,
            "request_id": message.request_id,
            "waited_ms": round(waited_ms, 1),
            "left_ms": round(message.time_left_ms - waited_ms, 1),
        }
        self._actions.append(LogDecision("delegated_too_late", fields, "warning"))
        self._decline(sender_id, message, now_ms)

    def _handle_delegation_change(
        self, sender_id: str, message: DelegationCancelled | DelegationHedged, now_ms: float
    ) -> None:
        """Handle a message about a request that its sender has delegated to this instance."""
        registry = self._runner.delegated.registry
        match message:
            case DelegationCancelled(number=number):
                key = registry.pop_key(sender_id, number)
                if key is not None:
                    self._runner.drop(key, now_ms)
            case DelegationHedged(number=number):
                key = registry.find_key(sender_id, number)
                if key is not None:
                    self._runner.mark_hedged(key)

    def _count_instances(self, now_ms: float) -> None:
        count = self.directory.instance_count(now_ms)
        live_ids = [peer.contact.instance_id for peer in self.directory.live(now_ms)]
        if (count, live_ids) != self._last_counted:
            self._last_counted = count, live_ids
            self._runner.set_instances(count, [*live_ids, self.directory.own_id])
            fields = {
                "instances": count,
                "live": len(live_ids),
                "live_peers": live_ids[:MAX_LOGGED_PEERS],
            }
            self._actions.append(LogDecision("peers", fields))

    def _address_message(
        self, instance_id: str, message: PeeringMessage
    ) -> OutgoingPeerMessage | None:
        peer = self.directory.peers.get(instance_id)
        if peer is None:
            return None
        return OutgoingPeerMessage(instance_id, peer.contact.address, message)

    def _configuration_version(self) -> int:
        configuration = self._published.configuration
        return 0 if configuration is None else configuration.version


def _fingerprint_of(message: DelegatedRequest) -> int:
    return compute_fingerprint(message.method, message.host, message.target, message.body)


def _waited_ms(message: DelegatedRequest, way_ms: float | None, now_ms: float) -> float:
    """Return how much later than expected a request came; 0 if neither clock can tell."""
    if message.end_ms is not None:
        return max(0.0, message.time_left_ms - (message.end_ms - now_ms))
    if way_ms is not None:
        return max(0.0, way_ms - MAX_TIME_OF_DAY_DIFFERENCE_MS)
    return 0.0
