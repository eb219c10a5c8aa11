"""Measure the CPU of the decisions alone, without any network."""

import gc
from time import process_time

from geraniumlead.actions import AnswerCaller, CallUpstream, SendToPeer
from geraniumlead.events import PeerMessageReceived, QueryArrived, TimerFired, UpstreamAnswered
from geraniumlead.instance import Instance
from geraniumlead.peers import SubqueryBatch, SubqueryResult, SubqueryResultBatch
from geraniumlead.requests import Answered, CallerRequest, NotRun
from geraniumlead.upstreams import Records
from geraniumlead_standins.capacity.decision_cluster import build_instance

FAN_OUTS = (20, 100, 200, 600, 1200)
SUBQUERIES_A_POINT = 24_000
RECORDS = b'[{"id":"a","hours":1.5}]'
OWNERS_FOR_REMOTE = 24


def measure_local_query() -> list[tuple[float, float]]:
    """Return microseconds a query by shards, where the instance owns every upstream."""
    points = []
    for shards in FAN_OUTS:
        instance = build_instance(shards)
        points.append((float(shards), _time_queries(instance, shards, _answer_local)))
    return points


def measure_remote_query() -> list[tuple[float, float]]:
    """Return microseconds a query by shards, where nearly all upstreams are peers' own."""
    points = []
    for shards in FAN_OUTS:
        instance = build_instance(shards, instances=OWNERS_FOR_REMOTE)
        points.append((float(shards), _time_queries(instance, shards, _answer_remote)))
    return points


def measure_refused() -> float:
    """Return microseconds of decision for a request that is refused."""
    instance = build_instance(20)
    count = 20_000
    started = process_time()
    for number in range(count):
        request = _build_request(f"r{number}", "nobody", 0.0)
        actions = instance.handle(QueryArrived(request), 0.0)
        if not isinstance(actions[-1].outcome, NotRun):
            raise RuntimeError("the request was not refused")
    return (process_time() - started) / count * 1e6


def _time_queries(instance: Instance, shards: int, answer) -> float:
    count = max(20, SUBQUERIES_A_POINT // shards)
    for number in range(3):
        _run_query(instance, f"w{number}", 0.0, answer)
    gc.collect()
    started = process_time()
    for number in range(count):
        # A real instance's clock moves on; one that stands still would hide expiry work.
        _run_query(instance, f"q{number}", 1.0 + number * 0.01, answer)
    return (process_time() - started) / count * 1e6


def _build_request(request_id: str, customer: str, now_ms: float) -> CallerRequest:
    return CallerRequest(
        request_id=request_id,
        customer=customer,
        class_name="lookup",
        query=b'{"text":"member"}',
        arrived_ms=now_ms,
        deadline_ms=now_ms + 10_000.0,
        least_coverage=1.0,
    )


def _run_query(instance: Instance, request_id: str, now_ms: float, answer) -> None:
    request = _build_request(request_id, "customer-0", now_ms)
    actions = instance.handle(QueryArrived(request), now_ms)
    ended = answer(instance, actions, now_ms)
    if not isinstance(ended.outcome, Answered) or not ended.outcome.coverage.is_whole:
        raise RuntimeError(f"the query was not answered whole: {ended.outcome!r}")


def _answer_local(instance: Instance, actions: list, now_ms: float) -> AnswerCaller:
    pending = list(actions)
    while pending:
        action = pending.pop()
        if isinstance(action, AnswerCaller):
            return action
        if isinstance(action, CallUpstream):
            records = Records(1, action.subquery.shard, RECORDS)
            pending += instance.handle(UpstreamAnswered(action.call_id, records), now_ms)
    raise RuntimeError("the query has no outcome")


def _answer_remote(instance: Instance, actions: list, now_ms: float) -> AnswerCaller:
    tick_ms = now_ms + instance.parts.settings.timing.batch_tick_ms
    pending = [*actions, *instance.handle(TimerFired(), tick_ms)]
    while pending:
        action = pending.pop()
        match action:
            case AnswerCaller():
                return action
            case CallUpstream(subquery=subquery):
                answered = UpstreamAnswered(action.call_id, Records(1, subquery.shard, RECORDS))
                pending += instance.handle(answered, tick_ms)
            case SendToPeer(message=SubqueryBatch(subqueries=subqueries)):
                results = tuple(
                    SubqueryResult(subquery.call_id, Records(1, subquery.shard, RECORDS))
                    for subquery in subqueries
                )
                event = PeerMessageReceived(action.instance_id, SubqueryResultBatch(results))
                pending += instance.handle(event, tick_ms)
    raise RuntimeError("the query has no outcome")
