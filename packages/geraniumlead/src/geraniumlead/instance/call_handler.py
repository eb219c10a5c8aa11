"""Carry out the steps of the coordinator and the dispatcher."""

from geraniumlead.actions import AnswerCaller, CallUpstream, CancelCall
from geraniumlead.cold_start import WarmthPhase
from geraniumlead.coordination import AskUpstream, CoordinationStep, DropCall, EndQuery
from geraniumlead.dispatch import DispatchStep, EndCall, NotifyOwners, StartCall, StopCall
from geraniumlead.events import UpstreamAnswered
from geraniumlead.instance.held_steps import HeldSteps
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.peers import (
    Goodbye,
    SubqueryBatch,
    SubqueryResult,
    SubqueryResultBatch,
    TicketedAnswer,
    UpstreamNotice,
)
from geraniumlead.requests import CallerRequest, Outcome
from geraniumlead.routing import Route
from geraniumlead.upstreams import Draining, Shed

STALE_OWNER_RETRY_AFTER_MS = 50.0


class CallHandler:
    """Move subqueries between coordinator, dispatcher, upstreams and peers."""

    __slots__ = ("_held", "_parts", "_peer_calls")

    def __init__(self, parts: InstanceParts) -> None:
        self._parts = parts
        self._held = HeldSteps()
        self._peer_calls: set[str] = set()

    @property
    def peer_call_count(self) -> int:
        """Return how many subqueries of peers wait or run here."""
        return len(self._peer_calls)

    def take_answer(self, event: UpstreamAnswered, now_ms: float) -> None:
        """Take in the end of a call to an upstream."""
        steps = self._parts.dispatcher.finish(event.call_id, event.answer, now_ms)
        self.run_dispatch(steps, now_ms)

    def take_subqueries(self, sender_id: str, batch: SubqueryBatch, now_ms: float) -> None:
        """Run a peer's subqueries on upstreams of this instance."""
        if not self._parts.freshness.may_send:
            self._shed_subqueries(sender_id, batch, now_ms)
            return
        if self._parts.lifecycle.is_stopping:
            # Peers of other data centres learn of the stop when they send work.
            self._parts.send(sender_id, Goodbye(self._parts.incarnation))
        for subquery in batch.subqueries:
            self._peer_calls.add(subquery.call_id)
            steps = self._parts.dispatcher.submit(subquery, sender_id, now_ms)
            self.run_dispatch(steps, now_ms)

    def take_results(self, batch: SubqueryResultBatch, now_ms: float) -> None:
        """Take in the ends of subqueries that a peer ran for this instance."""
        for result in batch.results:
            steps = self._parts.coordinator.finish_call(result.call_id, result.answer, now_ms)
            self.run_coordination(steps, now_ms)

    def cancel(self, call_ids: tuple[str, ...], now_ms: float) -> None:
        """Cancel a peer's subqueries."""
        for call_id in call_ids:
            self._peer_calls.discard(call_id)
            self.run_dispatch(self._parts.dispatcher.cancel(call_id, now_ms), now_ms)

    def hand_over_warmth(self, peer_id: str, now_ms: float) -> None:
        """Tell a new process which of the upstreams that it owns too were shown warm.

        Without this a replaced instance takes every upstream for unproven, and its callers
        wait for slot holders until each has answered once.
        """
        for upstream_id in self._parts.dispatcher.warm_upstreams_of(peer_id, now_ms):
            self._parts.send(peer_id, UpstreamNotice(upstream_id, WarmthPhase.WARM, 0.0))

    def take_disconnection(self, upstream_id: str, now_ms: float) -> None:
        """Note that an upstream closed its connections, which a restart does."""
        self.run_dispatch(self._parts.dispatcher.handle_disconnect(upstream_id, now_ms), now_ms)

    def take_notice(self, notice: UpstreamNotice, now_ms: float) -> None:
        """Take in what another owner saw of an upstream."""
        steps = self._parts.dispatcher.handle_owner_notice(notice.upstream_id, notice.state, now_ms)
        self.run_dispatch(steps, now_ms)

    def wake_dispatch(self, now_ms: float) -> None:
        """Start the calls that waited for a time to come."""
        self.run_dispatch(self._parts.dispatcher.wake(now_ms), now_ms)

    def hold_unsent(self, now_ms: float) -> None:
        """Hold the subqueries that a pause caught before their batch was sent."""
        for owner_id, subquery in self._parts.batcher.take_subqueries():
            route = Route(subquery.upstream_id, owner_id)
            self._held.hold_ask(AskUpstream(subquery, route), now_ms)

    def release(self, now_ms: float) -> None:
        """Send what was held, where the view allows it now."""
        parts = self._parts
        view = parts.store.view
        for step, remaining_ms in self._held.take_starts(now_ms):
            if remaining_ms > 0 and view.is_usable(step.subquery.upstream_id):
                self._start_call(step, remaining_ms)
                continue
            ended = parts.dispatcher.finish(step.subquery.call_id, Draining(), now_ms)
            self.run_dispatch(ended, now_ms)
        for step in self._held.take_asks(now_ms):
            if view.is_usable(step.subquery.upstream_id):
                self.run_coordination([step], now_ms)
                continue
            ended = parts.coordinator.finish_call(step.subquery.call_id, Draining(), now_ms)
            self.run_coordination(ended, now_ms)

    def run_coordination(self, steps: list[CoordinationStep], now_ms: float) -> None:
        """Carry out what the coordinator asks for."""
        parts = self._parts
        for step in steps:
            match step:
                case AskUpstream() if not parts.freshness.may_send:
                    self._held.hold_ask(step, now_ms)
                case AskUpstream(subquery=subquery, route=route):
                    if route.owner_id is None:
                        self.run_dispatch(parts.dispatcher.submit(subquery, None, now_ms), now_ms)
                    else:
                        parts.batcher.add_subquery(route.owner_id, subquery, now_ms)
                case DropCall(call_id=call_id) if self._held.drop_ask(call_id):
                    pass
                case DropCall(call_id=call_id, route=route):
                    if route.owner_id is None:
                        stopped = parts.dispatcher.cancel(call_id, now_ms)
                        self.run_dispatch(stopped, now_ms)
                    else:
                        parts.batcher.add_cancel(route.owner_id, call_id, now_ms)
                case EndQuery():
                    self._end_query(step, now_ms)

    def run_dispatch(self, steps: list[DispatchStep], now_ms: float) -> None:
        """Carry out what the dispatcher asks for."""
        parts = self._parts
        for step in steps:
            match step:
                case StartCall() if not parts.freshness.may_send:
                    self._held.hold_start(step, now_ms)
                case StartCall():
                    self._start_call(step, step.timeout_ms)
                case StopCall(call_id=call_id) if self._held.drop_start(call_id):
                    pass
                case NotifyOwners():
                    self._tell_owners(step)
                case StopCall(call_id=call_id):
                    parts.actions.append(CancelCall(call_id))
                case EndCall(origin=None, call_id=call_id, answer=answer):
                    ended = parts.coordinator.finish_call(call_id, answer, now_ms)
                    self.run_coordination(ended, now_ms)
                case EndCall(origin=origin, call_id=call_id, answer=answer):
                    self._peer_calls.discard(call_id)
                    parts.batcher.add_result(origin, SubqueryResult(call_id, answer), now_ms)

    def answer(
        self,
        request: CallerRequest,
        outcome: Outcome,
        queued_ms: float = 0.0,
        subqueries: int = 0,
        extra_subqueries: int = 0,
    ) -> None:
        """Give a request its outcome, here or through the peer that holds its caller."""
        forwarded = self._parts.tickets.take_forwarded(request.request_id, outcome)
        if forwarded is not None:
            sender_id, message = forwarded
            self._answer_peer(sender_id, message)
            return
        self._parts.actions.append(
            AnswerCaller(
                request_id=request.request_id,
                customer=request.customer,
                class_name=request.class_name,
                outcome=outcome,
                arrived_ms=request.arrived_ms,
                queued_ms=queued_ms,
                subqueries=subqueries,
                extra_subqueries=extra_subqueries,
            )
        )

    def _tell_owners(self, step: NotifyOwners) -> None:
        notice = UpstreamNotice(step.upstream_id, step.phase, 0.0)
        for owner_id in step.owner_ids:
            self._parts.send(owner_id, notice)

    def _start_call(self, step: StartCall, timeout_ms: float) -> None:
        subquery = step.subquery
        self._parts.actions.append(
            CallUpstream(
                subquery.call_id,
                step.entry.address,
                subquery,
                timeout_ms,
                step.connections,
                step.overdue_ms,
            )
        )

    def _shed_subqueries(self, sender_id: str, batch: SubqueryBatch, now_ms: float) -> None:
        # They may have waited in a socket for as long as this process was frozen, and their
        # coordinators have other owners: shed at once, they surely did not run.
        for subquery in batch.subqueries:
            result = SubqueryResult(subquery.call_id, Shed(STALE_OWNER_RETRY_AFTER_MS))
            self._parts.batcher.add_result(sender_id, result, now_ms)

    def _answer_peer(self, sender_id: str, message: TicketedAnswer) -> None:
        # A peer that is no longer listed gets nothing; its caller learns "unknown" in time.
        self._parts.send(sender_id, message)

    def _end_query(self, step: EndQuery, now_ms: float) -> None:
        request = step.request
        self._parts.admission.release(request.request_id, now_ms, step.outcome)
        self.answer(request, step.outcome, step.queued_ms, step.subqueries, step.extra_subqueries)
        if request.ticket is not None:
            for waiting in self._parts.tickets.finish(request, step.outcome):
                self.answer(waiting, step.outcome)
