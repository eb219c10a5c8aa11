from msgspec.structs import replace

from geraniumlead.actions import AnswerCaller, CallUpstream, CancelCall
from geraniumlead.cold_start import WarmthPhase
from geraniumlead.coordination import CancelSubquery, CoordinationStep, EndQuery, SendSubquery
from geraniumlead.dispatch import DispatchStep, EndCall, NotifyOwners, StartCall, StopCall
from geraniumlead.events import UpstreamAnswered
from geraniumlead.instance.held_steps import HeldSteps
from geraniumlead.instance.message_times import find_wait_ms
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.peer_messages import (
    Goodbye,
    SubqueryBatch,
    SubqueryResult,
    SubqueryResultBatch,
    TicketedAnswer,
    UpstreamNotice,
)
from geraniumlead.requests import CallerRequest, Outcome
from geraniumlead.routing import SubqueryRoute
from geraniumlead.upstreams import Draining, Shed, Subquery

STALE_OWNER_RETRY_AFTER_MS = 50.0


class CallHandler:
    """Carries out the steps of the coordinator and the dispatcher.

    It passes subqueries, their results and cancellations between the coordinator, the
    dispatcher, upstreams and peers.
    """

    __slots__ = ("_held", "_parts", "_peer_calls")

    def __init__(self, parts: InstanceParts) -> None:
        self._parts = parts
        self._held = HeldSteps()
        self._peer_calls: set[str] = set()

    @property
    def peer_call_count(self) -> int:
        """Return the number of peers' subqueries that are waiting or running on this instance."""
        return len(self._peer_calls)

    def handle_answer(self, event: UpstreamAnswered, now_ms: float) -> None:
        """Process the result of a call to an upstream."""
        steps = self._parts.dispatcher.finish(event.call_id, event.answer, now_ms)
        self.run_dispatch(steps, now_ms)

    def handle_subqueries(self, sender_id: str, batch: SubqueryBatch, now_ms: float) -> None:
        """Run a peer's subqueries on upstreams that this instance owns."""
        if not self._parts.freshness.may_send:
            self._shed_subqueries(sender_id, batch, now_ms)
            return
        if self._parts.lifecycle.is_stopping:
            # Peers in other data centres are notified of the shutdown only when they send work.
            self._parts.send(sender_id, Goodbye(self._parts.incarnation))
        wait_ms = find_wait_ms(batch, now_ms)
        for subquery in batch.subqueries:
            if wait_ms:
                subquery = replace(subquery, remaining_ms=subquery.remaining_ms - wait_ms)
            if subquery.remaining_ms <= 0.0:
                self._shed(sender_id, subquery, now_ms)
                continue
            self._peer_calls.add(subquery.call_id)
            steps = self._parts.dispatcher.submit(subquery, sender_id, now_ms)
            self.run_dispatch(steps, now_ms)

    def handle_results(self, batch: SubqueryResultBatch, now_ms: float) -> None:
        """Process the results of subqueries that a peer ran for this instance."""
        for result in batch.results:
            steps = self._parts.coordinator.finish_call(result.call_id, result.answer, now_ms)
            self.run_coordination(steps, now_ms)

    def cancel(self, call_ids: tuple[str, ...], now_ms: float) -> None:
        """Cancel subqueries that a peer sent."""
        for call_id in call_ids:
            self._peer_calls.discard(call_id)
            self.run_dispatch(self._parts.dispatcher.cancel(call_id, now_ms), now_ms)

    def send_warm_upstreams(self, peer_id: str, now_ms: float) -> None:
        """Notify a restarted peer of the warm upstreams that both instances own.

        Without this, a replaced instance treats every upstream as unproven, and its callers
        wait for slot holders until each upstream has answered once.
        """
        for upstream_id in self._parts.dispatcher.warm_upstreams_of(peer_id, now_ms):
            self._parts.send(peer_id, UpstreamNotice(upstream_id, WarmthPhase.WARM, 0.0))

    def handle_disconnection(self, upstream_id: str, now_ms: float) -> None:
        """Record that an upstream closed its connections, as it does on a restart."""
        self.run_dispatch(self._parts.dispatcher.handle_disconnect(upstream_id, now_ms), now_ms)

    def handle_notice(self, notice: UpstreamNotice, now_ms: float) -> None:
        """Process the state of an upstream that another owner reported."""
        steps = self._parts.dispatcher.handle_owner_notice(notice.upstream_id, notice.state, now_ms)
        self.run_dispatch(steps, now_ms)

    def wake_dispatch(self, now_ms: float) -> None:
        """Start the waiting calls that are due."""
        self.run_dispatch(self._parts.dispatcher.wake(now_ms), now_ms)

    def hold_unsent(self, now_ms: float) -> None:
        """Hold the subqueries whose batch had not been sent when the process was paused."""
        for owner_id, subquery in self._parts.batcher.drain_subqueries():
            route = SubqueryRoute(subquery.upstream_id, owner_id)
            self._held.hold_subquery(SendSubquery(subquery, route), now_ms)

    def release_held(self, now_ms: float) -> None:
        """Send the held calls and subqueries that the view still allows; end the others."""
        parts = self._parts
        view = parts.store.view
        for step, remaining_ms in self._held.drain_calls(now_ms):
            if remaining_ms > 0 and view.is_usable(step.subquery.upstream_id):
                self._start_call(step, remaining_ms)
                continue
            ended = parts.dispatcher.finish(step.subquery.call_id, Draining(), now_ms)
            self.run_dispatch(ended, now_ms)
        for step in self._held.drain_subqueries(now_ms):
            if view.is_usable(step.subquery.upstream_id):
                self.run_coordination([step], now_ms)
                continue
            ended = parts.coordinator.finish_call(step.subquery.call_id, Draining(), now_ms)
            self.run_coordination(ended, now_ms)

    def run_coordination(self, steps: list[CoordinationStep], now_ms: float) -> None:
        """Carry out the steps that the coordinator returned."""
        parts = self._parts
        for step in steps:
            match step:
                case SendSubquery() if not parts.freshness.may_send:
                    self._held.hold_subquery(step, now_ms)
                case SendSubquery(subquery=subquery, route=route):
                    if route.owner_id is None:
                        self.run_dispatch(parts.dispatcher.submit(subquery, None, now_ms), now_ms)
                    else:
                        parts.batcher.add_subquery(route.owner_id, subquery, now_ms)
                case CancelSubquery(call_id=call_id) if self._held.drop_subquery(call_id):
                    pass
                case CancelSubquery(call_id=call_id, route=route):
                    if route.owner_id is None:
                        stopped = parts.dispatcher.cancel(call_id, now_ms)
                        self.run_dispatch(stopped, now_ms)
                    else:
                        parts.batcher.add_cancel(route.owner_id, call_id, now_ms)
                case EndQuery():
                    self._end_query(step, now_ms)

    def run_dispatch(self, steps: list[DispatchStep], now_ms: float) -> None:
        """Carry out the steps that the dispatcher returned."""
        parts = self._parts
        for step in steps:
            match step:
                case StartCall() if not parts.freshness.may_send:
                    self._held.hold_call(step, now_ms)
                case StartCall():
                    self._start_call(step, step.timeout_ms)
                case StopCall(call_id=call_id) if self._held.drop_call(call_id):
                    pass
                case NotifyOwners():
                    self._notify_owners(step)
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
        """Send a request's outcome to its caller, or to the peer that forwarded the request."""
        forwarded = self._parts.tickets.pop_forwarded_answer(request.request_id, outcome)
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

    def _notify_owners(self, step: NotifyOwners) -> None:
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
        # The subqueries may have waited in a socket for as long as this process was paused, and
        # their coordinators can use other owners. Shedding them immediately guarantees that
        # they did not run.
        for subquery in batch.subqueries:
            self._shed(sender_id, subquery, now_ms)

    def _shed(self, sender_id: str, subquery: Subquery, now_ms: float) -> None:
        """Report that a peer's subquery did not run and will not."""
        result = SubqueryResult(subquery.call_id, Shed(STALE_OWNER_RETRY_AFTER_MS))
        self._parts.batcher.add_result(sender_id, result, now_ms)

    def _answer_peer(self, sender_id: str, message: TicketedAnswer) -> None:
        # A peer that is no longer listed gets no answer; its caller gets "unknown" at the deadline.
        self._parts.send(sender_id, message)

    def _end_query(self, step: EndQuery, now_ms: float) -> None:
        request = step.request
        self._parts.admission.release(request.request_id, now_ms, step.outcome)
        self.answer(request, step.outcome, step.queued_ms, step.subqueries, step.extra_subqueries)
        if request.ticket is not None:
            for waiting in self._parts.tickets.finish(request, step.outcome):
                self.answer(waiting, step.outcome)
