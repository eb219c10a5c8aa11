"""Measure the CPU of the decisions alone, without any network."""

import gc
from time import process_time

from geraniumlead.events import QueryArrived, TimerFired
from geraniumlead.requests import Answered, CallerRequest, NotRun
from geraniumlead_standins.capacity.decision_cluster import build_driver
from geraniumlead_standins.capacity.echo_driver import EchoDriver

FAN_OUTS = (20, 100, 200, 600, 1200)
SUBQUERIES_A_POINT = 24_000
WARM_UP_QUERIES = 12
OWNERS_FOR_REMOTE = 24


def measure_local_query() -> list[tuple[float, float]]:
    """Return microseconds a query by shards, where the instance owns every upstream."""
    return [(float(shards), _time_queries(build_driver(shards), shards)) for shards in FAN_OUTS]


def measure_remote_query() -> list[tuple[float, float]]:
    """Return microseconds a query by shards, where three quarters are peers' own."""
    return [
        (float(shards), _time_queries(build_driver(shards, OWNERS_FOR_REMOTE), shards))
        for shards in FAN_OUTS
    ]


def measure_refused() -> float:
    """Return microseconds of decision for a request that is refused."""
    driver = build_driver(20)
    count = 20_000
    started = process_time()
    for number in range(count):
        driver.feed(QueryArrived(build_request(f"r{number}", "nobody", driver.now_ms)))
    spent_s = process_time() - started
    if not all(isinstance(answer.outcome, NotRun) for answer in driver.answers):
        raise RuntimeError("a request was not refused")
    return spent_s / count * 1e6


def build_request(request_id: str, customer: str, now_ms: float) -> CallerRequest:
    """Return a lookup with ten seconds of time."""
    return CallerRequest(
        request_id=request_id,
        customer=customer,
        class_name="lookup",
        query=b'{"text":"member"}',
        arrived_ms=now_ms,
        deadline_ms=now_ms + 10_000.0,
        least_coverage=1.0,
    )


def _time_queries(driver: EchoDriver, shards: int) -> float:
    count = max(20, SUBQUERIES_A_POINT // shards)
    for number in range(WARM_UP_QUERIES):
        _run_query(driver, f"w{number}")
        driver.advance(100.0)
    driver.answers.clear()
    gc.collect()
    started = process_time()
    for number in range(count):
        _run_query(driver, f"q{number}")
    spent_s = process_time() - started
    whole = [answer for answer in driver.answers if _is_whole(answer.outcome)]
    if len(whole) != count:
        raise RuntimeError(f"{len(whole)} of {count} queries were answered whole")
    return spent_s / count * 1e6


def _is_whole(outcome) -> bool:
    return isinstance(outcome, Answered) and outcome.coverage.is_whole


def _run_query(driver: EchoDriver, request_id: str) -> None:
    driver.feed(QueryArrived(build_request(request_id, "customer-0", driver.now_ms)))
    # The batching tick sends what goes to peers.
    driver.now_ms += driver.instance.parts.settings.timing.batch_tick_ms
    driver.feed(TimerFired())
