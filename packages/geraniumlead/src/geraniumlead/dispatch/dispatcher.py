"""Own the gates of this instance's upstreams."""

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.dispatch.steps import DispatchStep, EndCall, StartCall, StopCall
from geraniumlead.dispatch.upstream_gate import UpstreamGate
from geraniumlead.dispatch.waiting_call import WaitingCall
from geraniumlead.ownership.owners import OwnerTable
from geraniumlead.upstreams.answers import Draining, NotReached, Shed, UpstreamAnswer
from geraniumlead.upstreams.subquery import Subquery

SHED_RETRY_AFTER_MS = 50.0


class Dispatcher:
    """Start, queue, cancel and end calls to the upstreams that this instance owns."""

    __slots__ = ("_gate_of_call", "_gates", "_instance_id", "_owners", "_view")

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._view = ClusterView()
        self._owners = OwnerTable(self._view)
        self._gates: dict[str, UpstreamGate] = {}
        self._gate_of_call: dict[str, UpstreamGate] = {}

    def update(self, view: ClusterView, owners: OwnerTable, now_ms: float) -> list[DispatchStep]:
        """Take over a new view; calls that wait for a leaving upstream end as not run."""
        self._view, self._owners = view, owners
        steps: list[DispatchStep] = []
        for upstream_id, gate in list(self._gates.items()):
            placed = view.upstreams.get(upstream_id)
            if placed is not None:
                gate.entry = placed.entry
                gate.owner_count = len(owners.owners_of(upstream_id))
            if not view.is_usable(upstream_id):
                steps += self._end_waiting(gate)
                if not gate.in_flight:
                    del self._gates[upstream_id]
        return steps

    def submit(self, subquery: Subquery, origin: str | None, now_ms: float) -> list[DispatchStep]:
        """Start a subquery or let it wait for a place."""
        gate = self._gate_for(subquery.upstream_id)
        if gate is None:
            return [EndCall(origin, subquery.call_id, NotReached("the upstream is not usable"))]
        call = WaitingCall(subquery, origin, now_ms + subquery.remaining_ms)
        gate.waiting.append(call)
        return self._start_waiting(gate, now_ms)

    def finish(self, call_id: str, answer: UpstreamAnswer, now_ms: float) -> list[DispatchStep]:
        """Note the end of a started call, pass its answer on and start what waits."""
        gate = self._gate_of_call.pop(call_id, None)
        if gate is None:
            return []
        call = gate.in_flight.pop(call_id)
        return [EndCall(call.origin, call_id, answer), *self._start_waiting(gate, now_ms)]

    def cancel(self, call_id: str, upstream_id: str, now_ms: float) -> list[DispatchStep]:
        """Forget a call whose answer is no longer wanted."""
        gate = self._gate_of_call.pop(call_id, None)
        if gate is not None:
            del gate.in_flight[call_id]
            return [StopCall(call_id), *self._start_waiting(gate, now_ms)]
        gate = self._gates.get(upstream_id)
        if gate is not None:
            for call in gate.waiting:
                if call.subquery.call_id == call_id:
                    gate.waiting.remove(call)
                    break
        return []

    def _gate_for(self, upstream_id: str) -> UpstreamGate | None:
        if not self._view.is_usable(upstream_id):
            return None
        gate = self._gates.get(upstream_id)
        if gate is None:
            owners = self._owners.owners_of(upstream_id)
            entry = self._view.upstreams[upstream_id].entry
            gate = self._gates[upstream_id] = UpstreamGate(entry, len(owners))
        return gate

    def _start_waiting(self, gate: UpstreamGate, now_ms: float) -> list[DispatchStep]:
        steps: list[DispatchStep] = []
        while gate.waiting and gate.has_room():
            call = gate.waiting.popleft()
            remaining_ms = call.deadline_ms - now_ms
            call_id = call.subquery.call_id
            if remaining_ms <= 0:
                steps.append(EndCall(call.origin, call_id, Shed(SHED_RETRY_AFTER_MS)))
                continue
            gate.in_flight[call_id] = call
            self._gate_of_call[call_id] = gate
            steps.append(StartCall(call.subquery, gate.entry, remaining_ms, gate.connections))
        return steps

    def _end_waiting(self, gate: UpstreamGate) -> list[DispatchStep]:
        steps = [EndCall(call.origin, call.subquery.call_id, Draining()) for call in gate.waiting]
        gate.waiting.clear()
        return steps
