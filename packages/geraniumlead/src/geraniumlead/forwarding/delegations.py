"""Hold the shards of requests that peers ask."""

from dataclasses import dataclass
from enum import Enum

from geraniumlead.forwarding.aggregator_chooser import LEAST_GOAL_LEFT_MS, MOST_TAKEN_GOAL_SHARE
from geraniumlead.forwarding.open_request import OpenRequest, Subrequest
from geraniumlead.forwarding.own_delay import DelaySamples
from geraniumlead.forwarding.wake_times import WakeTimes
from geraniumlead.peering import (
    DelegatedReply,
    DelegatedRequest,
    DelegationCancelled,
    DelegationShared,
    KnownPeer,
    PeerContact,
    PeeringMessage,
)
from geraniumlead.peering.peer_letter import PeerLetter
from geraniumlead.routes import FanOut, Route

REPLY_SLACK_MS = 40.0
"""How much later than it was asked to a peer may reply, besides the way and its word."""

PEER_WORK_MS = 3.0
"""What the peer's own work takes from the goal."""

OVERTIME_SHARE = 0.5
"""Part of the caller's time after the goal in which a late peer may still bring its shards. In the
rest the caller can ask elsewhere once more."""

WORD_DELAY_FACTOR = 1.5
"""How much longer than the high quantile of the latest words a peer's word may take."""

BUSY_MS = 5.0
"""Lateness of a timer from which on messages may be waiting in this instance's own loop."""


class Lateness(Enum):
    """Say what of a peer is overdue."""

    NOTHING = "nothing"
    WORD = "word"
    REPLY = "reply"
    GIVEN_UP = "given up"


@dataclass(slots=True)
class Delegation:
    """Shards of a request that a peer was asked to ask.

    ``due_ms`` is when it has to have said something, ``report_ms`` when what it has at its goal
    should be here, ``reply_due_ms`` when it is late without that. Once anything is overdue, its
    shards are asked from here as well, as far as the budget goes; ``is_shared`` says that the
    peer was told so.
    """

    number: int
    opened: OpenRequest
    legs: list[Subrequest]
    peer: KnownPeer
    due_ms: float
    report_ms: float
    reply_due_ms: float
    asked_ms: float
    is_taken: bool = False
    lateness: Lateness = Lateness.NOTHING
    was_extended: bool = False
    is_shared: bool = False

    def leg_at(self, place: int) -> Subrequest | None:
        """Return the shard at a place in the request to the peer; None when there is none."""
        return self.legs[place] if 0 <= place < len(self.legs) else None


class Delegations:
    """Hold the shards that peers were asked to ask, until they bring them.

    Failure: the peer is gone, or the way to it. It has to say at once that it took the
    request; without that the shards are asked from here while the goal can still be met.

    Failure: the peer is only slow, for it opens its connections or all of the fleet is busy.
    Given up, its work was lost, the shards were asked anew over cold connections, and the budget
    of all was spent on it, so that the next queries failed. Its word is waited for as long as the
    latest words took, and it may still reply for a while after the goal.
    """

    __slots__ = ("_next", "_open", "_own_contact", "_reply_delay", "_wakes", "_word_delay")

    def __init__(self, own_contact: PeerContact) -> None:
        self._own_contact = own_contact
        self._open: dict[int, Delegation] = {}
        self._wakes = WakeTimes()
        self._next = 0
        self._reply_delay = DelaySamples()
        self._word_delay = DelaySamples()

    def start(
        self, opened: OpenRequest, legs: list[Subrequest], peer: KnownPeer, now_ms: float
    ) -> PeerLetter:
        """Ask a peer to ask the shards."""
        self._next += 1
        way_ms = peer.usual_way_ms
        request = opened.request
        time_left_ms = max(0.0, opened.end_ms - now_ms - way_ms)
        work_ms = max(PEER_WORK_MS, self._reply_delay.quantile_ms(now_ms))
        goal_left_ms = opened.goal_ms - now_ms - 2.0 * way_ms - work_ms
        if goal_left_ms < LEAST_GOAL_LEFT_MS:
            # It will be late in any case, and then only needs enough shards.
            goal_left_ms = time_left_ms - way_ms
        due_ms = now_ms + self._word_patience_ms(peer, opened.goal_ms - now_ms, now_ms)
        report_ms = now_ms + goal_left_ms + 2.0 * way_ms
        reply_due_ms = due_ms + goal_left_ms + REPLY_SLACK_MS
        delegation = Delegation(
            self._next, opened, legs, peer, due_ms, report_ms, reply_due_ms, now_ms
        )
        self._open[delegation.number] = delegation
        self._wakes.add(due_ms, delegation.number)
        peer.open_delegations += 1
        opened.delegations.add(delegation.number)
        message = DelegatedRequest(
            number=delegation.number,
            version=opened.configuration.version,
            route=opened.route.name,
            shards=tuple(leg.service for leg in legs),
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
        )
        return PeerLetter(peer.contact.instance_id, peer.contact.address, message)

    def _word_patience_ms(self, peer: KnownPeer, goal_left_ms: float, now_ms: float) -> float:
        """Return how long a peer may take to say that it serves a request."""
        delay_ms = WORD_DELAY_FACTOR * self._word_delay.quantile_ms(now_ms)
        usual_ms = 2.0 * peer.usual_way_ms + delay_ms
        return max(peer.word_ms, min(usual_ms, MOST_TAKEN_GOAL_SHARE * goal_left_ms))

    def note_taken(self, number: int, now_ms: float) -> None:
        """Note that a peer serves a request; from now on it has until the goal to reply.

        Failure: the peer dies after its word. Without a second time the request would wait
        for its reply until its caller gives up.
        """
        delegation = self._open.get(number)
        if delegation is None or delegation.is_taken:
            return
        delegation.is_taken = True
        word_ms = now_ms - delegation.asked_ms
        self._word_delay.record(word_ms - 2.0 * delegation.peer.usual_way_ms, now_ms)
        if delegation.lateness is not Lateness.REPLY:
            self._set_due(delegation, delegation.reply_due_ms)

    def _set_due(self, delegation: Delegation, due_ms: float) -> None:
        delegation.due_ms = due_ms
        self._wakes.add(due_ms, delegation.number)

    def take_reply(self, number: int, reply: DelegatedReply, now_ms: float) -> Delegation | None:
        """Return the delegation that a reply is for, and take it out with the final one.

        How late reports are tells how much sooner peers have to send them.
        """
        if reply.is_final:
            delegation = self.take(number)
            if delegation is not None and reply.is_declined:
                delegation.peer.declined_ms = now_ms
            return delegation
        delegation = self._open.get(number)
        if delegation is not None:
            delegation.is_taken = True
            delegation.due_ms = float("inf")
            late_ms = PEER_WORK_MS + now_ms - delegation.report_ms
            self._reply_delay.record(late_ms, now_ms)
        return delegation

    def take(self, number: int) -> Delegation | None:
        """Take a delegation out that has its reply; None when nobody waits for it."""
        delegation = self._open.pop(number, None)
        if delegation is not None:
            delegation.peer.open_delegations -= 1
            delegation.opened.delegations.discard(number)
        return delegation

    def cancel(self, opened: OpenRequest) -> list[PeerLetter]:
        """Forget a request's delegations; return what the peers are told."""
        taken = [self.take(number) for number in sorted(opened.delegations)]
        return [self.cancel_letter(found) for found in taken if found is not None]

    def take_overdue(self, now_ms: float) -> list[Delegation]:
        """Return what peers said nothing of in time; what is given up is taken out."""
        overdue = []
        while (due := self._wakes.pop_due(now_ms)) is not None:
            due_ms, number = due
            delegation = self._open.get(number)
            if delegation is None or delegation.due_ms != due_ms:
                continue
            if now_ms - due_ms > BUSY_MS and not delegation.was_extended:
                # This loop was busy, and what the peer said may wait in it.
                delegation.was_extended = True
                self._set_due(delegation, now_ms + (now_ms - due_ms))
                continue
            # Nothing more is passed to it until it is heard again.
            delegation.peer.silent_ms = now_ms
            self._note_late(delegation, now_ms)
            overdue.append(delegation)
        return overdue

    def _note_late(self, delegation: Delegation, now_ms: float) -> None:
        """Set what is overdue now, and until when the rest may come."""
        if delegation.lateness is Lateness.REPLY:
            delegation.lateness = Lateness.GIVEN_UP
            self.take(delegation.number)
        elif delegation.is_taken or delegation.lateness is Lateness.WORD:
            delegation.lateness = Lateness.REPLY
            left_ms = max(0.0, delegation.opened.end_ms - now_ms)
            self._set_due(delegation, now_ms + OVERTIME_SHARE * left_ms)
        else:
            delegation.lateness = Lateness.WORD
            self._set_due(delegation, delegation.reply_due_ms)

    def next_wake_ms(self) -> float:
        """Return when ``take_overdue`` has something to do."""
        return self._wakes.next_ms()

    def shared_letter(self, delegation: Delegation) -> PeerLetter:
        """Return what a peer is told whose shards are asked from here as well."""
        return self._letter(delegation, DelegationShared(delegation.number))

    def cancel_letter(self, delegation: Delegation) -> PeerLetter:
        """Return what a peer is told whose shards nobody waits for."""
        return self._letter(delegation, DelegationCancelled(delegation.number))

    def _letter(self, delegation: Delegation, message: PeeringMessage) -> PeerLetter:
        contact = delegation.peer.contact
        return PeerLetter(contact.instance_id, contact.address, message)


def find_delegated_route(message: DelegatedRequest, configuration) -> Route | None:
    """Return the route by which a peer's request is served; None when it has to be declined.

    An older configuration than the sender's would serve the request by a version that the
    sender has already left.
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
