from geraniumlead.cold_start import ColdStartGuard, WarmthPhase
from geraniumlead.cold_start.cold_start_guard import RECHECK_MS
from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.dispatch.long_running import find_long_running
from geraniumlead.dispatch.refusal import SHED_RETRY_AFTER_MS, find_refusal
from geraniumlead.dispatch.steps import DispatchStep, EndCall, NotifyOwners, StartCall, StopCall
from geraniumlead.dispatch.upstream_gate import MAX_WAITING_PER_SLOT, UpstreamGate
from geraniumlead.dispatch.waiting_call import WaitingCall
from geraniumlead.ownership.owners import OwnerTable
from geraniumlead.upstreams.answers import (
    Cold,
    ConnectionLost,
    Draining,
    Records,
    Shed,
    TimedOut,
    UpstreamAnswer,
)
from geraniumlead.upstreams.subquery import Subquery

DRAINING_MS = 5_000.0
"""Time for which a draining upstream gets no calls. By then the published list shows its state."""


class Dispatcher:
    """Starts, queues, cancels and ends calls to the upstreams that this instance owns.

    The calls in flight through each gate stay within the cold start guard's limit and the
    adaptive share of the slots. Other calls wait in a queue. A call that can't end in time is
    refused immediately.
    """

    __slots__ = (
        "_calls",
        "_gates",
        "_guard",
        "_instance_id",
        "_long_running",
        "_owners",
        "_view",
        "_wake_times_ms",
    )

    def __init__(self, instance_id: str, guard: ColdStartGuard) -> None:
        self._instance_id = instance_id
        self._guard = guard
        self._view = ClusterView()
        self._owners = OwnerTable(self._view)
        self._long_running: frozenset[tuple[str, str]] = frozenset()
        self._gates: dict[str, UpstreamGate] = {}
        self._calls: dict[str, tuple[UpstreamGate, WaitingCall]] = {}
        self._wake_times_ms: dict[str, float] = {}

    def update(
        self, view: ClusterView, owners: OwnerTable, list_revision: int, now_ms: float
    ) -> list[DispatchStep]:
        """Apply a new view. Calls that wait for a leaving upstream end as not run."""
        self._view, self._owners = view, owners
        self._long_running = find_long_running(view)
        self._guard.update(view, owners, list_revision, now_ms)
        steps: list[DispatchStep] = []
        for upstream_id, gate in list(self._gates.items()):
            placed = view.upstreams.get(upstream_id)
            if placed is not None:
                gate.set_entry(placed.entry, owners.owners_of(upstream_id), self._instance_id)
            if not view.is_usable(upstream_id):
                steps += self._end_waiting(gate, Draining())
                if not gate.in_flight:
                    del self._gates[upstream_id]
            else:
                steps += self._enforce_cold_allowance(gate, Cold(), now_ms)
        return steps

    def submit(self, subquery: Subquery, origin: str | None, now_ms: float) -> list[DispatchStep]:
        """Start a subquery, queue it, or refuse it immediately."""
        gate = self._gate_for(subquery.upstream_id)
        if gate is None or now_ms < gate.draining_until_ms:
            return [EndCall(origin, subquery.call_id, Draining())]
        is_long = (
            bool(self._long_running)
            and (subquery.customer, subquery.class_name) in self._long_running
        )
        call = WaitingCall(subquery, origin, now_ms + subquery.remaining_ms, is_long)
        if not gate.waiting and not is_long and self._has_free_slot(gate, now_ms):
            # Fast path: most calls do not wait, and a query may have more than a thousand.
            self._calls[subquery.call_id] = (gate, call)
            return [self._start(gate, call, subquery.remaining_ms, now_ms)]
        refusal = find_refusal(gate, call, self._guard, now_ms)
        if refusal is not None:
            return [EndCall(origin, subquery.call_id, refusal)]
        steps: list[DispatchStep] = []
        if len(gate.waiting) >= MAX_WAITING_PER_SLOT * gate.warm_limit:
            worst = gate.waiting.pop_worst(better_than=subquery.priority)
            displaced = call if worst is None else worst
            self._calls.pop(displaced.subquery.call_id, None)
            steps.append(self._end(displaced, Shed(SHED_RETRY_AFTER_MS)))
            if worst is None:
                return steps
        self._calls[subquery.call_id] = (gate, call)
        gate.waiting.push(call)
        return steps + self._start_waiting(gate, now_ms)

    def finish(self, call_id: str, answer: UpstreamAnswer, now_ms: float) -> list[DispatchStep]:
        """Record the end of a call, return its answer and start waiting calls."""
        gate, call = self._calls.pop(call_id, (None, None))
        if gate is None or call is None:
            return []
        gate.record_ended(call)
        return [
            self._end(call, answer),
            *self._record_answer(gate, call, answer, now_ms),
            *self._start_waiting(gate, now_ms),
        ]

    def cancel(self, call_id: str, now_ms: float) -> list[DispatchStep]:
        """Cancel a call whose answer is no longer needed."""
        gate, call = self._calls.pop(call_id, (None, None))
        if gate is None or call is None:
            return []
        if call_id not in gate.in_flight:
            gate.waiting.remove(call)
            return []
        gate.record_ended(call)
        self._guard.record_aborted_call(gate.entry, now_ms)
        return [StopCall(call_id), *self._start_waiting(gate, now_ms)]

    def handle_disconnect(self, upstream_id: str, now_ms: float) -> list[DispatchStep]:
        """Treat an upstream that closed its connections as cold, and notify its other owners.

        Failure: an upstream restarts while no call is in flight. If its owners did not notice,
        two of them could send their full share at the same moment and overload it.
        """
        if upstream_id not in self._view.upstreams:
            return []
        is_change = self._guard.record_disconnect(upstream_id, now_ms) is not None
        gate = self._gates.get(upstream_id)
        if gate is None or not is_change:
            return []
        steps = self._enforce_cold_allowance(gate, ConnectionLost("closed"), now_ms)
        return [*self._notify_owners(gate, WarmthPhase.COLD), *steps]

    def handle_owner_notice(
        self, upstream_id: str, phase: str, now_ms: float
    ) -> list[DispatchStep]:
        """Handle the phase that another owner has observed at an upstream."""
        if upstream_id not in self._view.upstreams:
            return []
        self._guard.handle_owner_notice(upstream_id, phase, now_ms)
        gate = self._gates.get(upstream_id)
        if gate is None:
            return []
        steps = self._enforce_cold_allowance(gate, Cold(), now_ms)
        return [*steps, *self._start_waiting(gate, now_ms)]

    def wake(self, now_ms: float) -> list[DispatchStep]:
        """Start the waiting calls of gates whose wake time has come."""
        if not self._wake_times_ms:
            return []
        steps: list[DispatchStep] = []
        for upstream_id in [
            name for name, due_ms in self._wake_times_ms.items() if due_ms <= now_ms
        ]:
            del self._wake_times_ms[upstream_id]
            gate = self._gates.get(upstream_id)
            if gate is not None:
                steps += self._start_waiting(gate, now_ms)
        return steps

    def next_wake_ms(self) -> float | None:
        """Return when ``wake`` has to be called next, or None."""
        return min(self._wake_times_ms.values()) if self._wake_times_ms else None

    def gates(self) -> tuple[UpstreamGate, ...]:
        """Return the gates of the upstreams that were called, for status reports."""
        return tuple(self._gates.values())

    def warm_upstreams_of(self, owner_id: str, now_ms: float) -> list[str]:
        """Return the warm upstreams that another instance owns as well."""
        return [
            upstream_id
            for upstream_id in self._guard.warm_upstreams(now_ms)
            if owner_id in self._owners.owners_of(upstream_id)
        ]

    def has_free_cold_slot(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether a call would start immediately, also if only in a cold slot."""
        gate = self._gate_for(upstream_id)
        if gate is None or gate.in_flight or gate.waiting:
            return False
        return self._guard.max_in_flight(gate.entry, gate.warm_limit, now_ms) > 0

    def _has_free_slot(self, gate: UpstreamGate, now_ms: float) -> bool:
        max_in_flight = self._guard.max_in_flight(gate.entry, gate.warm_limit, now_ms)
        return len(gate.in_flight) < max_in_flight and now_ms >= gate.limit.paused_until_ms

    def _record_answer(
        self, gate: UpstreamGate, call: WaitingCall, answer: UpstreamAnswer, now_ms: float
    ) -> list[DispatchStep]:
        warm_limit = gate.warm_limit
        match answer:
            case Records():
                gate.limit.record_answer(calls_wait=len(gate.waiting) > 0)
                gate.record_service_time(now_ms - call.started_ms)
            case Shed(retry_after_ms=retry_after_ms):
                gate.limit.record_shed(retry_after_ms, now_ms)
            case Draining():
                gate.draining_until_ms = now_ms + DRAINING_MS
                return self._end_waiting(gate, answer)
            case TimedOut():
                gate.record_service_time(now_ms - call.started_ms)
                self._guard.record_aborted_call(gate.entry, now_ms)
        phase = self._guard.record_answer(gate.entry, answer, call.started_ms, warm_limit, now_ms)
        if phase is None:
            return []
        notices = self._notify_owners(gate, phase)
        if phase is not WarmthPhase.COLD:
            return notices
        end_answer = answer if isinstance(answer, ConnectionLost) else Cold()
        return [*notices, *self._enforce_cold_allowance(gate, end_answer, now_ms)]

    def _notify_owners(self, gate: UpstreamGate, phase: WarmthPhase) -> list[DispatchStep]:
        upstream_id = gate.entry.upstream_id
        owners = self._owners.owners_of(upstream_id)
        others = tuple(name for name in owners if name != self._instance_id)
        return [NotifyOwners(upstream_id, others, phase)] if others else []

    def _enforce_cold_allowance(
        self, gate: UpstreamGate, end_answer: UpstreamAnswer, now_ms: float
    ) -> list[DispatchStep]:
        """Cancel all calls to a cold upstream except the first call of a slot holder.

        A non-idempotent call continues, because its outcome would stay unknown if it were
        cancelled. The cancelled calls end with ``end_answer``. If the upstream closed its
        connections they end as lost, because one of them may have crashed it and has to count
        as a strike for its request.
        """
        entry = gate.entry
        if self._guard.takes_load(entry.upstream_id, now_ms):
            return []
        is_holder = self._guard.holds_slot(entry)
        steps = [] if is_holder else self._end_waiting(gate, Cold())
        cancellable = [call for call in gate.in_flight.values() if call.subquery.idempotent]
        kept_count = 1 if is_holder and len(cancellable) == len(gate.in_flight) else 0
        for call in cancellable[kept_count:]:
            call_id = call.subquery.call_id
            gate.record_ended(call)
            del self._calls[call_id]
            steps += [StopCall(call_id), self._end(call, end_answer)]
        return steps

    def _gate_for(self, upstream_id: str) -> UpstreamGate | None:
        if not self._view.is_usable(upstream_id):
            return None
        gate = self._gates.get(upstream_id)
        if gate is None:
            owners = self._owners.owners_of(upstream_id)
            entry = self._view.upstreams[upstream_id].entry
            gate = self._gates[upstream_id] = UpstreamGate(entry, owners, self._instance_id)
        return gate

    def _start_waiting(self, gate: UpstreamGate, now_ms: float) -> list[DispatchStep]:
        if not gate.waiting:
            return []
        steps: list[DispatchStep] = []
        max_in_flight = self._guard.max_in_flight(gate.entry, gate.warm_limit, now_ms)
        if now_ms < gate.limit.paused_until_ms:
            max_in_flight = 0
        while len(gate.in_flight) < max_in_flight:
            call = gate.waiting.pop(allow_long=gate.can_start_long())
            if call is None:
                break
            remaining_ms = call.deadline_ms - now_ms
            is_too_late = gate.waiting and remaining_ms < gate.service_ms
            if remaining_ms <= 0 or is_too_late:
                del self._calls[call.subquery.call_id]
                steps.append(self._end(call, Shed(SHED_RETRY_AFTER_MS)))
                continue
            steps.append(self._start(gate, call, remaining_ms, now_ms))
        if max_in_flight == 0:
            self._schedule_wake(gate, now_ms)
        return steps

    def _start(
        self, gate: UpstreamGate, call: WaitingCall, remaining_ms: float, now_ms: float
    ) -> StartCall:
        call.started_ms = now_ms
        gate.record_started(call)
        overdue_ms = None
        if call.subquery.idempotent:
            upstream_id = gate.entry.upstream_id
            remaining_ms = self._guard.bound_call_ms(upstream_id, remaining_ms, now_ms)
            overdue_ms = gate.overdue_ms
        return StartCall(call.subquery, gate.entry, remaining_ms, gate.connections, overdue_ms)

    def _schedule_wake(self, gate: UpstreamGate, now_ms: float) -> None:
        ready_ms = max(self._guard.ready_ms(gate.entry), gate.limit.paused_until_ms)
        due_ms = ready_ms if ready_ms > now_ms else now_ms + RECHECK_MS
        self._wake_times_ms[gate.entry.upstream_id] = due_ms

    def _end_waiting(self, gate: UpstreamGate, answer: UpstreamAnswer) -> list[DispatchStep]:
        steps: list[DispatchStep] = []
        for call in gate.waiting.clear():
            del self._calls[call.subquery.call_id]
            steps.append(self._end(call, answer))
        return steps

    def _end(self, call: WaitingCall, answer: UpstreamAnswer) -> EndCall:
        return EndCall(call.origin, call.subquery.call_id, answer)
