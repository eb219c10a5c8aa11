from geraniumlead.cold_start import WarmthPhase
from geraniumlead.dispatch.upstream_gate import UpstreamGate
from geraniumlead.instance.parts import InstanceParts
from geraniumlead.instance.upstream_status import ServiceStatus, UpstreamStatus


def report_upstreams(parts: InstanceParts, now_ms: float) -> dict[str, UpstreamStatus]:
    """Return the status of the upstreams that were called or are not in full use.

    An upstream that this instance never called and that is published as serving is omitted:
    its entry would carry no information, and with thousands of upstreams the status would be
    long.
    """
    gates = {gate.entry.upstream_id: gate for gate in parts.dispatcher.gates()}
    phases = parts.cold_start.phases()
    suspected = parts.router.suspected_upstreams()
    view = parts.store.view
    report = {}
    for upstream_id, placed in view.upstreams.items():
        gate = gates.get(upstream_id)
        conditions = _find_published_conditions(view, upstream_id)
        if upstream_id in suspected:
            conditions.append("suspected")
        if gate is not None:
            conditions += _find_observed_conditions(gate, phases.get(upstream_id), now_ms)
        if gate is None and not conditions:
            continue
        report[upstream_id] = UpstreamStatus(
            service=placed.entry.service,
            data_centre=placed.data_centre,
            in_flight=0 if gate is None else len(gate.in_flight),
            waiting=0 if gate is None else len(gate.waiting),
            conditions=tuple(conditions),
        )
    return report


def report_services(upstreams: dict[str, UpstreamStatus]) -> dict[str, ServiceStatus]:
    """Return the totals of each service."""
    services: dict[str, ServiceStatus] = {}
    for status in upstreams.values():
        service = services.setdefault(status.service, ServiceStatus())
        service.in_flight += status.in_flight
        service.waiting += status.waiting
    return services


def _find_published_conditions(view, upstream_id: str) -> list[str]:
    placed = view.upstreams[upstream_id]
    conditions = []
    if placed.entry.state == "leaving":
        conditions.append("leaving")
    if not view.is_data_centre_in_service(placed.data_centre):
        conditions.append("out")
    return conditions


def _find_observed_conditions(
    gate: UpstreamGate, phase: WarmthPhase | None, now_ms: float
) -> list[str]:
    conditions = []
    if phase is not None and phase is not WarmthPhase.WARM:
        conditions.append(phase.value)
    if gate.draining_until_ms > now_ms:
        conditions.append("draining")
    return conditions
