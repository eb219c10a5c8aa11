"""Measure the processor time of one admission decision, in real time.

``python -m geraniumlead_standins.bench.admission_cost`` prints a table.
"""

from collections.abc import Callable
from random import Random
from time import perf_counter
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing

from geraniumlead.admission import AdmissionController
from geraniumlead.configuration import ClusterView
from geraniumlead.documents import InstanceEntry, InstanceListDocument
from geraniumlead.requests import CallerRequest
from geraniumlead.settings import LimitSettings
from geraniumlead_standins.bench.load_contracts import build_load_contract

CONTRACT_COUNTS = (10, 1_000, 10_000)
DECISIONS = 20_000
INSTANCES = 7
CONTRACTS_WITH_DEMAND = 1_000
"""Number of contracts with traffic between two demand reports."""


def main() -> None:
    """Print microseconds per decision and bytes per contract, by the number of contracts."""
    print("contracts  admit+end us  refuse rate us  refuse queue us  report us  bytes/contract")
    for count in CONTRACT_COUNTS:
        # Tracing memory slows everything down several times, so it is off during the timing.
        start_tracing()
        _, bytes_each = _build(count)
        stop_tracing()
        controller, _ = _build(count)
        admit = _time(lambda number, c=controller, n=count: _admit(c, number, n))
        report = _time(lambda number, c=controller, n=count: _report(c, number, n), 20)
        rate = _time_rate_refusals(count)
        queue = _time_queue_refusals(controller, count)
        row = f"{count:9d} {admit:13.1f} {rate:15.1f} {queue:16.1f} {report:10.0f}"
        print(f"{row} {bytes_each:15.0f}")


def _build(count: int, **changes) -> tuple[AdmissionController, float]:
    contracts = [build_load_contract(f"c{number}", **changes) for number in range(count)]
    instances = [
        InstanceEntry(instance_id=f"i{number}", peer_address="10.0.0.1:1")
        for number in range(INSTANCES)
    ]
    listed = InstanceListDocument(data_centre="noord", instances=instances)
    view = ClusterView.from_documents([*contracts, listed])
    before, _ = get_traced_memory()
    controller = AdmissionController(LimitSettings(), "i0", Random(1))
    controller.update(view)
    for number in range(count):
        _admit(controller, number, count)
    after, _ = get_traced_memory()
    return controller, (after - before) / count


def _request(number: int, count: int) -> CallerRequest:
    return CallerRequest(f"r{number}", f"c{number % count}", "statement", b"{}", 0.0, 500.0, 1.0)


def _admit(controller: AdmissionController, number: int, count: int) -> None:
    request = _request(number, count)
    controller.offer(request, 0.0)
    controller.release(request.request_id, 0.0)


def _report(controller: AdmissionController, number: int, count: int) -> None:
    for customer in range(min(count, CONTRACTS_WITH_DEMAND)):
        controller._shares._request_counts[f"c{customer}"] = 1
    controller.build_demand_reports(float(number))


def _time_rate_refusals(count: int) -> float:
    controller, _ = _build(count, rate_per_s=0.001, burst_requests=1)
    return _time(lambda number: controller.offer(_request(number, count), 0.0))


def _time_queue_refusals(controller: AdmissionController, count: int) -> float:
    for number in range(2 * LimitSettings().queued_requests):
        controller.offer(_request(-1 - number, count), 0.0)
    return _time(lambda number: controller.offer(_request(number, count), 0.0))


def _time(decide: Callable[[int], object], times: int = DECISIONS) -> float:
    started_s = perf_counter()
    for number in range(times):
        decide(number)
    return (perf_counter() - started_s) / times * 1e6


if __name__ == "__main__":
    main()
