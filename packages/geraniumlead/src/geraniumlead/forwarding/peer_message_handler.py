"""Turn what peers say into calls of the decisions, and their outcomes into letters."""

from geraniumlead.forwarding.actions import ForwardingAction, LogDecision, PeerReply
from geraniumlead.forwarding.delegations import Lateness, find_delegated_route
from geraniumlead.forwarding.published_state import PublishedState
from geraniumlead.forwarding.request_runner import RequestRunner
from geraniumlead.peering import (
    CrashNotice,
    DelegatedReply,
    DelegatedRequest,
    DelegationCancelled,
    DelegationShared,
    DelegationTaken,
    Farewell,
    Hello,
    PeerDirectory,
    PeeringMessage,
)
from geraniumlead.peering.peer_letter import PeerLetter

MOST_TOLD = 40
"""Peers that are told of a crash: all of today's. In larger fleets each of them tells others
when the request comes again there, so it is stopped after one more crash at most."""

MOST_LOGGED = 20
"""Names of live peers in one line of the log; of a larger fleet the line tells the count."""

COUNT_MS = 500.0
"""Time between two counts of the instances that live: they look at every peer, and a peer counts
as gone only after seconds."""


class PeerMessageHandler:
    """Keep in touch with peers, and serve what they ask for."""

    __slots__ = ("_actions", "_count_due_ms", "_counted", "_published", "_runner", "directory")

    def __init__(
        self,
        directory: PeerDirectory,
        runner: RequestRunner,
        published: PublishedState,
        actions: list[ForwardingAction],
    ) -> None:
        self._runner = runner
        self._published = published
        self._actions = actions
        self._counted: tuple[int, list[str]] = (0, [])
        self._count_due_ms = float("-inf")
        self.directory = directory

    def take(self, sender_id: str, message: PeeringMessage, now_ms: float, is_ready: bool) -> None:
        """Take in one message."""
        match message:
            case Hello():
                for peer in self.directory.hear(message, now_ms):
                    letter = self.directory.greet(peer, self._version(), is_ready, now_ms)
                    self._actions.append(letter)
            case Farewell():
                self.directory.take_farewell(sender_id, message)
            case DelegatedRequest():
                self._serve(sender_id, message, now_ms, is_ready)
            case DelegationTaken(number=number):
                self.directory.note_response(sender_id)
                self._runner.delegated.delegations.note_taken(number, now_ms)
            case DelegatedReply(number=number):
                self.directory.note_response(sender_id)
                delegation = self._runner.delegated.delegations.take_reply(number, message, now_ms)
                if delegation is not None:
                    self._runner.handle_delegated_reply(delegation, message, now_ms)
            case CrashNotice(fingerprint=fingerprint, upstream_ids=upstream_ids):
                self._runner.crashes.hear(fingerprint, upstream_ids, now_ms)
            case DelegationCancelled() | DelegationShared():
                self._follow_sender(sender_id, message, now_ms)

    def wake(self, now_ms: float, is_ready: bool) -> None:
        """Say hello where it is due, and ask what peers did not take."""
        self._actions += self.directory.take_letters(self._version(), is_ready, now_ms)
        for delegation in self._runner.delegated.delegations.take_overdue(now_ms):
            fields = {
                "peer": delegation.peer.contact.instance_id,
                "request_id": delegation.opened.request.request_id,
                "waited_ms": round(now_ms - delegation.asked_ms, 1),
                "late": delegation.lateness.value,
            }
            self._actions.append(LogDecision("peer_silent", fields, "warning"))
            if delegation.lateness is Lateness.GIVEN_UP:
                self._runner.reclaim_delegated(delegation, "peer silent", now_ms)
            else:
                self._runner.hedge_delegated(delegation, now_ms)
        for fingerprint, upstream_ids in self._runner.crashes.take_told().items():
            notice = CrashNotice(fingerprint, upstream_ids)
            for peer in self.directory.live(now_ms)[:MOST_TOLD]:
                contact = peer.contact
                self._actions.append(PeerLetter(contact.instance_id, contact.address, notice))
        if now_ms >= self._count_due_ms:
            self._count_due_ms = now_ms + COUNT_MS
            self._count_instances(now_ms)

    def next_wake_ms(self) -> float:
        """Return when ``wake`` has something to do."""
        return min(self.directory.next_wake_ms(), self._runner.delegated.delegations.next_wake_ms())

    def say_farewell(self, now_ms: float) -> None:
        """Tell peers that no new work is taken."""
        self._actions += self.directory.farewells(now_ms)

    def route(self, action: ForwardingAction) -> ForwardingAction | None:
        """Give a reply to a peer its address; leave all else as it is."""
        match action:
            case PeerReply(sender_id=sender_id, message=message):
                return self._letter(sender_id, message)
        return action

    def _serve(
        self, sender_id: str, message: DelegatedRequest, now_ms: float, is_ready: bool
    ) -> None:
        if message.sender is not None:
            self.directory.introduce(message.sender, now_ms)
        configuration = self._published.configuration
        route = find_delegated_route(message, configuration)
        if route is None or configuration is None or not is_ready:
            declined = DelegatedReply(message.number, is_declined=True)
            self._actions.append(PeerReply(sender_id, declined))
            return
        self._actions.append(PeerReply(sender_id, DelegationTaken(message.number)))
        request = self._runner.delegated.registry.accept(sender_id, message, now_ms)
        self._runner.start(request, route, configuration, now_ms)

    def _follow_sender(
        self, sender_id: str, message: DelegationCancelled | DelegationShared, now_ms: float
    ) -> None:
        """Take in what becomes of a request that is served for a peer."""
        desk = self._runner.delegated.registry
        match message:
            case DelegationCancelled(number=number):
                key = desk.take_key(sender_id, number)
                if key is not None:
                    self._runner.drop(key, now_ms)
            case DelegationShared(number=number):
                key = desk.find_key(sender_id, number)
                if key is not None:
                    self._runner.mark_shared(key)

    def _count_instances(self, now_ms: float) -> None:
        count = self.directory.count(now_ms)
        live = [peer.contact.instance_id for peer in self.directory.live(now_ms)]
        if (count, live) != self._counted:
            self._counted = count, live
            self._runner.set_instances(count, [*live, self.directory.own_id])
            fields = {"instances": count, "live": len(live), "live_peers": live[:MOST_LOGGED]}
            self._actions.append(LogDecision("peers", fields))

    def _letter(self, instance_id: str, message: PeeringMessage) -> PeerLetter | None:
        peer = self.directory.peers.get(instance_id)
        if peer is None:
            return None
        return PeerLetter(instance_id, peer.contact.address, message)

    def _version(self) -> int:
        configuration = self._published.configuration
        return 0 if configuration is None else configuration.version
