"""Pass shards of requests to peers, and take in what they bring."""

from collections.abc import Mapping, Sequence

from geraniumlead.fleet import UpstreamRecord
from geraniumlead.forwarding.actions import ForwardingAction, PeerReply
from geraniumlead.forwarding.delegated_request_registry import DelegatedRequestRegistry
from geraniumlead.forwarding.delegation_plan import DelegationPlan
from geraniumlead.forwarding.delegations import Delegation, Delegations, Lateness
from geraniumlead.forwarding.open_request import OpenRequest, Subrequest
from geraniumlead.forwarding.results import Completed
from geraniumlead.forwarding.subrequest_sender import SubrequestSender
from geraniumlead.peering import DelegatedReply, PeerContact

OK = 200


class DelegatedSubrequests:
    """Tie the shards that peers ask to the requests here, in both directions."""

    __slots__ = ("_actions", "_legs", "_plan", "delegations", "registry")

    def __init__(
        self,
        plan: DelegationPlan,
        legs: SubrequestSender,
        actions: list[ForwardingAction],
        own_contact: PeerContact,
    ) -> None:
        self._plan = plan
        self.delegations = Delegations(own_contact)
        self.registry = DelegatedRequestRegistry()
        self._legs = legs
        self._actions = actions

    def pass_on(
        self, opened: OpenRequest, chosen: list[tuple[Subrequest, UpstreamRecord]], now_ms: float
    ) -> list[tuple[Subrequest, UpstreamRecord]]:
        """Pass shards to the peers that are to ask them; return the others."""
        if not opened.is_fan_out:
            return chosen
        for assignment in self._plan.assign(opened, chosen, now_ms):
            for leg in assignment.legs:
                leg.may_have_run = True
                leg.is_delegated = True
            letter = self.delegations.start(opened, assignment.legs, assignment.peer, now_ms)
            self._actions.append(letter)
        return [(leg, upstream) for leg, upstream in chosen if not leg.is_delegated]

    def take_reply(self, delegation: Delegation, reply: DelegatedReply, now_ms: float) -> None:
        """Take in what a peer brought for the shards that it was asked to ask."""
        signatures = dict(reply.signatures)
        records = reply.records
        for place, leg in enumerate(delegation.legs):
            signature = signatures.get(place)
            if signature is not None:
                # The records are those of all the peer's shards; they are merged once, in place
                # of the answer of any shard that was asked from here as well.
                answer = Completed(OK, (), records, signature)
                delegation.opened.settle_answered(leg, answer)
                self._legs.cancel_subrequest(leg, now_ms)
                records = b""
        if reply.is_final:
            why = "declined" if reply.is_declined else "missing at the peer"
            tried = {
                leg.service: upstream_ids
                for place, upstream_ids in reply.tried
                if (leg := delegation.leg_at(place)) is not None
            }
            self._ask_from_here(delegation, tried, why, now_ms)

    def ask_beside(self, delegation: Delegation, now_ms: float) -> None:
        """Ask shards from here as well while the peer may still bring them.

        It may have sent each of them once, and only its word is late or lost. It is told to
        send none again: together they would reach more upstreams than the route allows.
        """
        missing = [leg for leg in delegation.legs if not leg.is_settled]
        if not delegation.is_shared:
            delegation.is_shared = True
            self._actions.append(self.delegations.shared_letter(delegation))
            for leg in missing:
                self._legs.record_peer_attempts(leg, (None,))
        self._legs.hedge_delegated(missing, delegation.lateness is Lateness.REPLY, now_ms)

    def take_back(self, delegation: Delegation, why: str, now_ms: float) -> None:
        """Ask the shards from here that a peer no longer brings."""
        self._actions.append(self.delegations.cancel_letter(delegation))
        self._ask_from_here(delegation, {}, why, now_ms)

    def report(self, opened: OpenRequest) -> None:
        """Bring a peer what is in at its goal, and go on with the rest.

        Failure: with too few shards at the goal the peer needs some of the late ones. Given
        up here they would be asked again, from afar, and begin anew at an upstream that may
        be about to answer.
        """
        if not opened.is_reported:
            opened.is_reported = True
            sender_id, message = self.registry.report(opened)
            self._actions.append(PeerReply(sender_id, message))

    def reply(self, opened: OpenRequest) -> str:
        """Bring a peer the rest of its request, which ends; return the peer's name."""
        sender_id, message = self.registry.take_reply(opened)
        self._actions.append(PeerReply(sender_id, message))
        return sender_id

    def cancel(self, opened: OpenRequest) -> None:
        """Tell the peers that nobody waits for their shards any more."""
        self._actions += self.delegations.cancel(opened)

    def _ask_from_here(
        self,
        delegation: Delegation,
        tried: Mapping[str, Sequence[str | None]],
        why: str,
        now_ms: float,
    ) -> None:
        missing = [leg for leg in delegation.legs if not leg.is_settled]
        for leg in missing:
            leg.is_delegated = False
            self._legs.record_peer_attempts(leg, tried.get(leg.service, ()))
        unasked = [leg for leg in missing if not leg.open_attempts]
        self._legs.retry_delegated(delegation.opened, unasked, why, now_ms)
