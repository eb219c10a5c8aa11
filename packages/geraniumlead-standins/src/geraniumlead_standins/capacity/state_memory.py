"""Measure the memory of what an instance remembers."""

import gc
import tracemalloc
from collections.abc import Callable
from random import Random

from geraniumlead.events import QueryArrived
from geraniumlead.requests import CallerRequest
from geraniumlead.tickets import TicketBook
from geraniumlead_standins.capacity.decision_cluster import build_instance

UPSTREAM_COUNTS = (100, 400, 1_100, 2_500)
CONTRACT_COUNTS = (50, 200, 1_000, 3_000)
PEER_COUNTS = (7, 60, 227, 700)
OPEN_REQUEST_COUNTS = (100, 400, 1_000, 2_000)
TICKET_COUNTS = (1_000, 5_000, 20_000, 50_000)
OPEN_REQUEST_SHARDS = 20


def measure_state_memory() -> dict[str, list[tuple[float, float]]]:
    """Return bytes by count, for each kind of state."""
    return {
        "upstream": _measure(UPSTREAM_COUNTS, lambda count: build_instance(count)),
        "contract": _measure(CONTRACT_COUNTS, lambda count: build_instance(20, 1, count)),
        "peer": _measure(PEER_COUNTS, lambda count: build_instance(20, count)),
        "open_request": _measure(OPEN_REQUEST_COUNTS, _open_requests),
        "ticket": _measure(TICKET_COUNTS, _issue_tickets),
    }


def _measure(counts: tuple[int, ...], build: Callable[[int], object]) -> list:
    points = []
    for count in counts:
        gc.collect()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        held = build(count)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append((float(count), float(after - before)))
        del held
    return points


def _open_requests(count: int) -> object:
    instance = build_instance(OPEN_REQUEST_SHARDS)
    held = [instance]
    for number in range(count):
        request = CallerRequest(
            request_id=f"r{number}",
            customer="customer-0",
            class_name="lookup",
            query=b'{"text":"member %d"}' % number,
            arrived_ms=0.0,
            deadline_ms=10_000.0,
            least_coverage=1.0,
        )
        held += instance.handle(QueryArrived(request), 0.0)
    return held


def _issue_tickets(count: int) -> TicketBook:
    book = TicketBook("noord-0", "a1b2c3d4e5f6", 60_000.0, Random(1))
    for _ in range(count):
        book.issue("customer-0", "booking", 0.0)
    return book
