from collections.abc import Mapping, Sequence

from geraniumlead.forwarding.actions import ForwardingAction, PeerReply
from geraniumlead.forwarding.delegated_request_registry import DelegatedRequestRegistry
from geraniumlead.forwarding.delegation_planner import DelegationPlanner
from geraniumlead.forwarding.delegation_tracker import Delegation, DelegationTracker, Lateness
from geraniumlead.forwarding.open_request import OpenRequest, Subrequest
from geraniumlead.forwarding.results import Completed
from geraniumlead.forwarding.subrequest_sender import SubrequestSender
from geraniumlead.forwarding.upstream_share import NOT_SHARED, SentByPeer
from geraniumlead.peering import CrashReports, DelegatedReply, PeerContact, ProcessId
from geraniumlead.published_upstreams import UpstreamRecord

OK = 200


class DelegatedSubrequests:
    """Delegates subrequests to peers and settles them with the peers' replies.

    It also sends the replies to requests that peers have delegated to this instance.
    """

    __slots__ = ("_actions", "_planner", "_sender", "registry", "tracker")

    def __init__(
        self,
        planner: DelegationPlanner,
        sender: SubrequestSender,
        actions: list[ForwardingAction],
        own_contact: PeerContact,
        first_number: int = 0,
    ) -> None:
        self._planner = planner
        self.tracker = DelegationTracker(own_contact, first_number)
        self.registry = DelegatedRequestRegistry()
        self._sender = sender
        self._actions = actions

    def delegate(
        self,
        open_request: OpenRequest,
        chosen: list[tuple[Subrequest, UpstreamRecord]],
        now_ms: float,
    ) -> list[tuple[Subrequest, UpstreamRecord]]:
        """Delegate subrequests to peers as planned; return those to send from here."""
        if not open_request.is_fan_out:
            return chosen
        upstream_ids = {subrequest.service: upstream.upstream_id for subrequest, upstream in chosen}
        for assignment in self._planner.assign(open_request, chosen, now_ms):
            for subrequest in assignment.subrequests:
                subrequest.may_have_run = True
                subrequest.is_delegated = True
                subrequest.share = SentByPeer(upstream_ids[subrequest.service])
            message = self.tracker.start(
                open_request, assignment.subrequests, assignment.peer, now_ms
            )
            self._actions.append(message)
        return [
            (subrequest, upstream) for subrequest, upstream in chosen if not subrequest.is_delegated
        ]

    def handle_reply(self, delegation: Delegation, reply: DelegatedReply, now_ms: float) -> None:
        """Settle delegated subrequests with the reply of a peer."""
        signatures = dict(reply.signatures)
        records = reply.records
        for position, subrequest in enumerate(delegation.subrequests):
            signature = signatures.get(position)
            if signature is not None:
                # The records are those of all shards in the reply, so only the first settled
                # subrequest gets them. They replace the answer of any shard that was queried
                # from here as well.
                answer = Completed(OK, (), records, signature)
                self._sender.record_peer_answer(subrequest, now_ms)
                delegation.open_request.settle_answered(subrequest, answer)
                self._sender.cancel_subrequest(subrequest, now_ms)
                records = b""
        if reply.is_final:
            reason = "declined" if reply.is_declined else "missing at the peer"
            tried = {
                subrequest.service: upstream_ids
                for position, upstream_ids in reply.tried
                if (subrequest := delegation.subrequest_at(position)) is not None
            }
            for subrequest in delegation.subrequests:
                # The peer sends nothing more, and has named all that it sent.
                subrequest.share = NOT_SHARED
            self._send_from_here(delegation, tried, reason, now_ms, not reply.is_declined)

    def hedge(self, delegation: Delegation, now_ms: float) -> None:
        """Send subrequests from here as well while the peer may still answer them.

        The peer may have sent each of them once, and only its acknowledgement may be late or lost.
        A message asks it not to retry any of them, which spares the budget; the upstreams that
        either may reach don't depend on it.
        """
        missing = [subrequest for subrequest in delegation.subrequests if not subrequest.is_settled]
        if not delegation.is_hedged:
            delegation.is_hedged = True
            self._actions.append(self.tracker.build_hedged_message(delegation))
            for subrequest in missing:
                self._sender.record_peer_attempts(subrequest, (None,))
        self._sender.hedge_delegated(missing, delegation.lateness is Lateness.REPLY, now_ms)

    def reclaim(self, delegation: Delegation, reason: str, now_ms: float) -> None:
        """Cancel a delegation and send its unanswered subrequests from here.

        What the peer has sent is not known, so they still go to the upstream that both may reach.
        """
        self._actions.append(self.tracker.build_cancel_message(delegation))
        self._send_from_here(delegation, {}, reason, now_ms)

    def send_partial_reply(self, open_request: OpenRequest) -> None:
        """Send a peer the answers available at its goal, and go on with the rest.

        Failure: if too few shards have answered at the goal, the peer needs some of the late ones.
        If they were cancelled here, the peer would send them again, over a longer distance, and
        they would start anew at an upstream, although the first one may be about to answer.
        """
        if not open_request.is_reported:
            open_request.is_reported = True
            receiver, message = self.registry.build_partial_reply(open_request)
            self._actions.append(PeerReply(receiver, message))

    def send_crashes(self, open_request: OpenRequest, message: CrashReports) -> None:
        """Tell the peer that delegated a request which upstreams were lost under it."""
        receiver = self.registry.find_sender(open_request)
        if receiver is not None:
            self._actions.append(PeerReply(receiver, message))

    def send_final_reply(self, open_request: OpenRequest) -> ProcessId:
        """Send a peer the final reply to its request, which ends; return the peer's process."""
        receiver, message = self.registry.pop_final_reply(open_request)
        self._actions.append(PeerReply(receiver, message))
        return receiver

    def cancel(self, open_request: OpenRequest) -> None:
        """Cancel the delegations of a request and notify the peers."""
        self._actions += self.tracker.cancel(open_request)

    def _send_from_here(
        self,
        delegation: Delegation,
        tried: Mapping[str, Sequence[str | None]],
        reason: str,
        now_ms: float,
        is_counted: bool = False,
    ) -> None:
        missing = [subrequest for subrequest in delegation.subrequests if not subrequest.is_settled]
        for subrequest in missing:
            subrequest.is_delegated = False
            self._sender.record_peer_attempts(subrequest, tried.get(subrequest.service, ()))
        unsent = [subrequest for subrequest in missing if not subrequest.open_attempts]
        self._sender.send_unanswered(delegation.open_request, unsent, reason, now_ms, is_counted)
