from dataclasses import dataclass
from enum import Enum

from geraniumlead.forwarding.aggregator_chooser import MAX_ACK_GOAL_SHARE, MIN_GOAL_LEFT_MS
from geraniumlead.forwarding.open_request import OpenRequest, Subrequest
from geraniumlead.forwarding.processing_delay import DelaySamples
from geraniumlead.forwarding.upstream_share import SentByPeer
from geraniumlead.forwarding.wake_times import WakeTimes
from geraniumlead.peering import (
    UNKNOWN_INCARNATION,
    DelegatedReply,
    DelegatedRequest,
    DelegationCancelled,
    DelegationHedged,
    KnownPeer,
    PeerContact,
    PeeringMessage,
)
from geraniumlead.peering.outgoing_peer_message import OutgoingPeerMessage
from geraniumlead.routes import FanOut, Route

REPLY_SLACK_MS = 40.0
"""How much later than requested a peer may reply, besides the network delay and the time of its
acknowledgement."""

PEER_PROCESSING_MS = 3.0
"""Processing time of the peer that is deducted from the goal."""

LATE_REPLY_SHARE = 0.5
"""Share of the caller's time after the goal in which a late peer may still reply. In the rest the
caller can retry elsewhere once."""

ACK_DELAY_FACTOR = 1.5
"""Factor by which an acknowledgement may exceed the high quantile of the latest acknowledgement
delays."""

BUSY_LOOP_DELAY_MS = 5.0
"""Lateness of a timer from which on messages may be waiting in this instance's own event loop."""


class Lateness(Enum):
    """What is overdue from a peer."""

    NOTHING = "nothing"
    ACKNOWLEDGEMENT = "word"
    REPLY = "reply"
    GIVEN_UP = "given up"


@dataclass(slots=True)
class Delegation:
    """Subrequests of a request that were delegated to a peer.

    ``due_ms`` is when the next message of the peer is due, ``partial_reply_due_ms`` when the
    answers it has at its goal should be here, ``reply_due_ms`` when it is late without them. Once
    anything is overdue, its subrequests are sent from here as well, as far as the budget allows;
    ``is_hedged`` is set once the peer was notified of it. ``peer_incarnation`` is the process of
    the peer that the request was sent to.
    """

    number: int
    open_request: OpenRequest
    subrequests: list[Subrequest]
    peer: KnownPeer
    due_ms: float
    partial_reply_due_ms: float
    reply_due_ms: float
    sent_ms: float
    peer_incarnation: int = UNKNOWN_INCARNATION
    is_acknowledged: bool = False
    lateness: Lateness = Lateness.NOTHING
    was_extended: bool = False
    is_hedged: bool = False

    def subrequest_at(self, position: int) -> Subrequest | None:
        """Return the subrequest at a position in the request to the peer; None if there is none."""
        return self.subrequests[position] if 0 <= position < len(self.subrequests) else None


class DelegationTracker:
    """Tracks the subrequests delegated to peers until the peers have replied.

    Failure: the peer is gone or cannot be reached. It has to acknowledge the request at once;
    without the acknowledgement the subrequests are sent from here while the goal can still be met.

    Failure: the peer is only slow, because it opens its connections or the whole fleet is busy. If
    the delegation is given up, the peer's work is lost, the shards are queried again over cold
    connections, and the whole budget is spent on it, so that the next queries fail. Therefore the
    acknowledgement is awaited for as long as the latest ones took, and the peer may still reply for
    a while after the goal.
    """

    __slots__ = ("_ack_delay", "_last_number", "_open", "_own_contact", "_reply_delay", "_wakes")

    def __init__(self, own_contact: PeerContact, first_number: int = 0) -> None:
        """Track delegations; ``first_number`` differs between the processes of an instance.

        Failure: a peer of an older version replies to the previous process of this instance, and
        nothing but the number tells the reply from one to this process.
        """
        self._own_contact = own_contact
        self._open: dict[int, Delegation] = {}
        self._wakes = WakeTimes()
        self._last_number = first_number
        self._reply_delay = DelaySamples()
        self._ack_delay = DelaySamples()

    def start(
        self,
        open_request: OpenRequest,
        subrequests: list[Subrequest],
        peer: KnownPeer,
        now_ms: float,
    ) -> OutgoingPeerMessage:
        """Start a delegation; return the message that asks the peer for the shards."""
        self._last_number += 1
        one_way_ms = peer.estimated_delay_ms
        request = open_request.request
        time_left_ms = open_request.deadline.left_ms(now_ms) - one_way_ms
        processing_ms = max(PEER_PROCESSING_MS, self._reply_delay.quantile_ms(now_ms))
        goal_left_ms = open_request.goal_ms - now_ms - 2.0 * one_way_ms - processing_ms
        if goal_left_ms < MIN_GOAL_LEFT_MS:
            # The goal cannot be met, so the peer gets the caller's remaining time to reach
            # enough shards.
            goal_left_ms = time_left_ms - one_way_ms
        due_ms = now_ms + self._ack_timeout_ms(peer, open_request.goal_ms - now_ms, now_ms)
        partial_reply_due_ms = now_ms + goal_left_ms + 2.0 * one_way_ms
        reply_due_ms = due_ms + goal_left_ms + REPLY_SLACK_MS
        delegation = Delegation(
            self._last_number,
            open_request,
            subrequests,
            peer,
            due_ms,
            partial_reply_due_ms,
            reply_due_ms,
            now_ms,
            peer.incarnation,
        )
        self._open[delegation.number] = delegation
        self._wakes.add(due_ms, delegation.number)
        peer.open_delegations += 1
        open_request.delegations.add(delegation.number)
        message = DelegatedRequest(
            number=delegation.number,
            version=open_request.configuration.version,
            route=open_request.route.name,
            shards=tuple(subrequest.service for subrequest in subrequests),
            request_id=request.request_id,
            method=request.method,
            host=request.host,
            path=request.path,
            target=request.target,
            headers=request.headers,
            body=request.body,
            time_left_ms=time_left_ms,
            goal_left_ms=goal_left_ms,
            sender=self._own_contact,
            end_ms=peer.clock_offset.to_other_clock_ms(open_request.end_ms),
            shared_upstreams=tuple(_shared_upstream_of(found) for found in subrequests),
        )
        return peer.address_message(message)

    def _ack_timeout_ms(self, peer: KnownPeer, goal_left_ms: float, now_ms: float) -> float:
        """Return how long to wait for a peer's acknowledgement."""
        delay_ms = ACK_DELAY_FACTOR * self._ack_delay.quantile_ms(now_ms)
        expected_ms = 2.0 * peer.estimated_delay_ms + delay_ms
        return max(
            peer.acknowledgement_timeout_ms, min(expected_ms, MAX_ACK_GOAL_SHARE * goal_left_ms)
        )

    def find(self, number: int, peer_id: str) -> Delegation | None:
        """Return the open delegation with a number; None if the peer was not asked for it."""
        delegation = self._open.get(number)
        if delegation is None or delegation.peer.contact.instance_id != peer_id:
            return None
        return delegation

    def record_acknowledgement(self, number: int, peer_id: str, now_ms: float) -> None:
        """Record a peer's acknowledgement; from now on it has until the goal to reply.

        Failure: the peer dies after its acknowledgement. Without a second deadline the request
        would wait for its reply until the caller gives up.
        """
        delegation = self.find(number, peer_id)
        if delegation is None or delegation.is_acknowledged:
            return
        delegation.is_acknowledged = True
        ack_ms = now_ms - delegation.sent_ms
        self._ack_delay.record(ack_ms - 2.0 * delegation.peer.estimated_delay_ms, now_ms)
        if delegation.lateness is not Lateness.REPLY:
            self._set_due(delegation, delegation.reply_due_ms)

    def _set_due(self, delegation: Delegation, due_ms: float) -> None:
        delegation.due_ms = due_ms
        self._wakes.add(due_ms, delegation.number)

    def handle_reply(self, reply: DelegatedReply, peer_id: str, now_ms: float) -> Delegation | None:
        """Return the delegation that a peer's reply is for; the final reply removes it.

        The delay of partial replies determines how much earlier peers have to send them.
        """
        delegation = self.find(reply.number, peer_id)
        if delegation is None:
            return None
        if reply.is_final:
            self.pop(reply.number)
            if reply.is_declined:
                delegation.peer.declined_ms = now_ms
            return delegation
        delegation.is_acknowledged = True
        delegation.due_ms = float("inf")
        late_ms = PEER_PROCESSING_MS + now_ms - delegation.partial_reply_due_ms
        self._reply_delay.record(late_ms, now_ms)
        return delegation

    def pop(self, number: int) -> Delegation | None:
        """Remove and return a delegation; None if it is not open."""
        delegation = self._open.pop(number, None)
        if delegation is not None:
            delegation.peer.open_delegations -= 1
            delegation.open_request.delegations.discard(number)
        return delegation

    def cancel(self, open_request: OpenRequest) -> list[OutgoingPeerMessage]:
        """Remove a request's delegations; return the cancellations to send."""
        removed = [self.pop(number) for number in sorted(open_request.delegations)]
        return [self.build_cancel_message(found) for found in removed if found is not None]

    def pop_overdue(self, now_ms: float) -> list[Delegation]:
        """Return the delegations with an overdue message, each with its new lateness.

        Those that are given up are removed.
        """
        overdue = []
        while (due := self._wakes.pop_due(now_ms)) is not None:
            due_ms, number = due
            delegation = self._open.get(number)
            if delegation is None or delegation.due_ms != due_ms:
                continue
            if now_ms - due_ms > BUSY_LOOP_DELAY_MS and not delegation.was_extended:
                # This event loop was busy, and the peer's message may be waiting in it.
                delegation.was_extended = True
                self._set_due(delegation, now_ms + (now_ms - due_ms))
                continue
            # Nothing more is delegated to the peer until it sends a message.
            delegation.peer.silent_since_ms = now_ms
            self._advance_lateness(delegation, now_ms)
            overdue.append(delegation)
        return overdue

    def _advance_lateness(self, delegation: Delegation, now_ms: float) -> None:
        """Advance the lateness by one step and set the deadline of the next one."""
        if delegation.lateness is Lateness.REPLY:
            delegation.lateness = Lateness.GIVEN_UP
            self.pop(delegation.number)
        elif delegation.is_acknowledged or delegation.lateness is Lateness.ACKNOWLEDGEMENT:
            delegation.lateness = Lateness.REPLY
            left_ms = max(0.0, delegation.open_request.end_ms - now_ms)
            self._set_due(delegation, now_ms + LATE_REPLY_SHARE * left_ms)
        else:
            delegation.lateness = Lateness.ACKNOWLEDGEMENT
            self._set_due(delegation, delegation.reply_due_ms)

    def next_wake_ms(self) -> float:
        """Return when ``pop_overdue`` has to be called."""
        return self._wakes.next_ms()

    def build_hedged_message(self, delegation: Delegation) -> OutgoingPeerMessage:
        """Return the message that the subrequests are sent from here as well."""
        return self._address_message(delegation, DelegationHedged(delegation.number))

    def build_cancel_message(self, delegation: Delegation) -> OutgoingPeerMessage:
        """Return the message that the subrequests are no longer needed."""
        return self._address_message(delegation, DelegationCancelled(delegation.number))

    def _address_message(
        self, delegation: Delegation, message: PeeringMessage
    ) -> OutgoingPeerMessage:
        return delegation.peer.address_message(message, delegation.peer_incarnation)


def _shared_upstream_of(subrequest: Subrequest) -> str:
    """Return the upstream of a delegated subrequest that this instance may reach as well."""
    match subrequest.share:
        case SentByPeer(upstream_id=upstream_id):
            return upstream_id
    raise ValueError(f"{subrequest.service} is delegated without an upstream that both may reach")


def find_delegated_route(message: DelegatedRequest, configuration) -> Route | None:
    """Return the route for a delegated request; None if the request has to be declined.

    An older configuration than the sender's would serve the request by a version that the sender no
    longer uses.
    """
    if configuration is None or configuration.version < message.version:
        return None
    route = configuration.routes.find(message.host, message.path)
    if route is None or route.name != message.route:
        return None
    match route.target:
        case FanOut(shards=shards) if set(message.shards) <= set(shards):
            return route
    return None
