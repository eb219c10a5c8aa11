"""Measure the CPU time of the decisions alone, without a network."""

import gc
from time import process_time

from geraniumlead.events import PeerMessageReceived, QueryArrived, TimerFired
from geraniumlead.peer_messages import SubqueryBatch
from geraniumlead.requests import Answered, CallerRequest, NotRun
from geraniumlead.upstreams import Subquery
from geraniumlead_standins.capacity.decision_cluster import build_driver
from geraniumlead_standins.capacity.echo_driver import EchoDriver
from geraniumlead_standins.capacity.fits import min_of_runs

FAN_OUTS = (20, 100, 200, 600, 1200)
BATCH_SIZES = (10, 50, 100, 200, 400)
SUBQUERIES_PER_POINT = 24_000
WARM_UP_QUERIES = 12
OWNERS_FOR_REMOTE = 24


def measure_local_query() -> list[tuple[float, float]]:
    """Return microseconds per query by shards, if the instance owns every upstream."""
    return [
        (float(shards), min_of_runs(lambda n=shards: _time_queries(build_driver(n), n)))
        for shards in FAN_OUTS
    ]


def measure_remote_query() -> list[tuple[float, float]]:
    """Return microseconds per query by shards, if peers own three quarters of the upstreams."""
    return [
        (
            float(shards),
            min_of_runs(lambda n=shards: _time_queries(build_driver(n, OWNERS_FOR_REMOTE), n)),
        )
        for shards in FAN_OUTS
    ]


def measure_owner() -> list[tuple[float, float]]:
    """Return microseconds that an owner needs for a peer's batch, by its subqueries."""
    return [(float(size), min_of_runs(lambda n=size: _time_batches(n))) for size in BATCH_SIZES]


def measure_refused() -> float:
    """Return microseconds for the decision to refuse a request."""
    driver = build_driver(20)
    count = 20_000
    started = process_time()
    for number in range(count):
        driver.deliver(QueryArrived(build_request(f"r{number}", "nobody", driver.now_ms)))
    spent_s = process_time() - started
    if not all(isinstance(answer.outcome, NotRun) for answer in driver.answers):
        raise RuntimeError("a request was not refused")
    return spent_s / count * 1e6


def build_request(request_id: str, customer: str, now_ms: float) -> CallerRequest:
    """Return a lookup request with a deadline in ten seconds."""
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
    count = max(20, SUBQUERIES_PER_POINT // shards)
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


def _time_batches(size: int) -> float:
    # Of two instances both own every upstream, so the other one may send a batch for all of them.
    driver = build_driver(size, 2)
    for number in range(WARM_UP_QUERIES):
        _run_query(driver, f"w{number}")
        driver.advance(100.0)
    count = max(20, SUBQUERIES_PER_POINT // size)
    batches = [_build_batch(size, number) for number in range(count)]
    gc.collect()
    started = process_time()
    for batch in batches:
        driver.deliver(PeerMessageReceived("noord-1", batch))
        driver.now_ms += driver.instance.parts.settings.timing.batch_tick_ms
        driver.deliver(TimerFired())
    return (process_time() - started) / count * 1e6


def _build_batch(size: int, number: int) -> SubqueryBatch:
    return SubqueryBatch(
        tuple(
            Subquery(
                call_id=f"noord-1.life.{number}.{shard}",
                request_id=f"r{number}",
                upstream_id=f"lookup-{shard}",
                service="lookup",
                index_version=1,
                shard=shard,
                remaining_ms=10_000.0,
                query=b'{"text":"member"}',
                customer="customer-0",
                class_name="lookup",
            )
            for shard in range(size)
        )
    )


def _is_whole(outcome) -> bool:
    return isinstance(outcome, Answered) and outcome.coverage.is_whole


def _run_query(driver: EchoDriver, request_id: str) -> None:
    driver.deliver(QueryArrived(build_request(request_id, "customer-0", driver.now_ms)))
    # The batching tick sends the subqueries to peers.
    driver.now_ms += driver.instance.parts.settings.timing.batch_tick_ms
    driver.deliver(TimerFired())
