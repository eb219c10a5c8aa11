"""Measure the memory of the state that an instance holds."""

import gc
import tracemalloc
from collections.abc import Callable
from random import Random

from geraniumlead.events import QueryArrived
from geraniumlead.tickets import TicketRegistry
from geraniumlead_standins.capacity.decision_cluster import build_driver, build_instance
from geraniumlead_standins.capacity.decision_cpu import build_request
from geraniumlead_standins.capacity.echo_driver import EchoDriver

UPSTREAM_COUNTS = (100, 400, 1_100, 2_500)
CONTRACT_COUNTS = (50, 200, 1_000, 3_000)
PEER_COUNTS = (7, 60, 227, 700)
TICKET_COUNTS = (1_000, 5_000, 20_000, 50_000)
FAN_OUTS = (20, 100, 400, 1_200)
REQUESTS_PER_FAN_OUT = 20


def measure_state_memory() -> dict[str, list[tuple[float, float]]]:
    """Return bytes by number of items, for each kind of state."""
    return {
        "upstream": _measure(UPSTREAM_COUNTS, lambda count: build_instance(count)),
        "contract": _measure(CONTRACT_COUNTS, lambda count: build_instance(20, 1, count)),
        "peer": _measure(PEER_COUNTS, lambda count: build_instance(20, count)),
        "open_shard": [
            (float(shards), _measure_open(shards) / REQUESTS_PER_FAN_OUT) for shards in FAN_OUTS
        ],
        "ticket": _measure(TICKET_COUNTS, _issue_tickets),
    }


def _measure(counts: tuple[int, ...], build: Callable[[int], object]) -> list:
    return [(float(count), _measure_one(lambda count=count: build(count))) for count in counts]


def _measure_one(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    held = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return float(after - before)


def _measure_open(shards: int) -> float:
    driver = build_driver(shards)
    return _measure_one(lambda: _open_requests(driver, REQUESTS_PER_FAN_OUT))


def _open_requests(driver: EchoDriver, count: int) -> list:
    held: list = []
    for number in range(count):
        request = build_request(f"r{number}", "customer-0", driver.now_ms)
        held += driver.instance.handle(QueryArrived(request), driver.now_ms)
    return held


def _issue_tickets(count: int) -> TicketRegistry:
    registry = TicketRegistry("noord-0", "a1b2c3d4e5f6", 60_000.0, Random(1))
    for _ in range(count):
        registry.issue("customer-0", "booking", 0.0)
    return registry
