from geraniumlead.cold_start import ColdStartGuard
from geraniumlead.dispatch.upstream_gate import UpstreamGate
from geraniumlead.dispatch.waiting_call import WaitingCall
from geraniumlead.upstreams.answers import Cold, Shed, UpstreamAnswer

SHED_RETRY_AFTER_MS = 50.0


def find_refusal(
    gate: UpstreamGate, call: WaitingCall, guard: ColdStartGuard, now_ms: float
) -> UpstreamAnswer | None:
    """Return the answer that refuses a call, or None if it may start or wait.

    A refused subquery can still be sent to another replica in time, which is no longer possible
    after a useless wait. An upstream that is not warm is called by its slot holders only.
    """
    entry, remaining_ms = gate.entry, call.subquery.remaining_ms
    if call.long_running and gate.long_slots == 0:
        return Shed(SHED_RETRY_AFTER_MS)
    if guard.takes_load(entry.upstream_id, now_ms):
        wait_ms = gate.estimate_wait_ms(call, gate.warm_limit)
        in_time = gate.can_end_in_time(wait_ms, remaining_ms)
        return None if in_time else Shed(SHED_RETRY_AFTER_MS)
    if not guard.holds_slot(entry):
        return Cold()
    wait_ms = max(guard.ready_ms(entry) - now_ms, 0.0) + gate.estimate_wait_ms(call, 1)
    return None if gate.can_end_in_time(wait_ms, remaining_ms) else Cold()
