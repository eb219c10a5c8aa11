"""Calls, and a dispatcher whose upstream is warm."""

from core_tests.builders import build_contract, build_instance, build_traffic_class, build_upstream
from core_tests.cold_start.fleet_of_dispatchers import ConfirmedView
from geraniumlead.cold_start import ColdStartGuard
from geraniumlead.configuration import ClusterView, PlacedUpstream
from geraniumlead.dispatch import Dispatcher
from geraniumlead.dispatch.waiting_call import WaitingCall
from geraniumlead.ownership import OwnerTable
from geraniumlead.settings import TimingSettings
from geraniumlead.upstreams import Records, Subquery

UPSTREAM = "ledger-0"
RECORDS = Records(1, 0, b"[]")


def build_subquery(call_id: str, remaining_ms: float = 200.0, **changes) -> Subquery:
    """Return a subquery for ``UPSTREAM``."""
    values = {"customer": "acme", "class_name": "lookup", **changes}
    return Subquery(call_id, "r", UPSTREAM, "ledger", 1, 0, remaining_ms, b"{}", **values)


def build_call(call_id: str, priority: int = 0, long_running: bool = False) -> WaitingCall:
    """Return a waiting call."""
    return WaitingCall(build_subquery(call_id, priority=priority), None, 200.0, long_running)


def build_view(instance_count: int = 1, state: str = "serving", slots: int = 2) -> ClusterView:
    """Return a view with one upstream, and one class each of short and long requests."""
    classes = [
        build_traffic_class(),
        build_traffic_class(name="audit", priority=5, deadline_ms=5_000, long_running=True),
    ]
    entry = build_upstream(slots=slots, state=state)
    return ClusterView(
        contracts={"acme": build_contract(classes=classes)},
        upstreams={UPSTREAM: PlacedUpstream(entry, "noord")},
        instances={"noord": tuple(build_instance(number) for number in range(instance_count))},
    )


def build_dispatcher(
    instance_count: int = 1, instance_id: str = "noord-0", slots: int = 2
) -> Dispatcher:
    """Return a dispatcher that has observed the upstream as warm."""
    guard = ColdStartGuard(instance_id, TimingSettings(list_lag_ms=0.0), ConfirmedView())
    dispatcher = Dispatcher(instance_id, guard)
    view = build_view(instance_count, slots=slots)
    dispatcher.update(view, OwnerTable(view), 1, 0.0)
    warmth = guard.warmth_of(UPSTREAM)
    for _ in range(8):
        warmth.record_answer(RECORDS, 0.0, slots, 0.0)
    return dispatcher
