"""Fan a query out over its shards and end it with one outcome."""

from heapq import heappop, heappush

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.coordination.open_call import OpenCall
from geraniumlead.coordination.open_query import OpenQuery
from geraniumlead.coordination.retry_budget import RetryBudget
from geraniumlead.coordination.shard_state import ShardState
from geraniumlead.coordination.steps import AskUpstream, CoordinationStep, DropCall, EndQuery
from geraniumlead.documents.traffic_class import TrafficClass
from geraniumlead.planning.plan_query import plan_query
from geraniumlead.planning.query_plan import QueryPlan
from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.outcomes import Answered, Failed, NotRun, Outcome, Unknown
from geraniumlead.requests.reasons import MissingReason, RefusalReason
from geraniumlead.routing.router import Router
from geraniumlead.upstreams.answers import (
    SURELY_NOT_RUN,
    Cold,
    ConnectionLost,
    Draining,
    NotReached,
    Records,
    Shed,
    TimedOut,
    UpstreamAnswer,
    WrongVersion,
)
from geraniumlead.upstreams.subquery import Subquery

SHED_RETRY_AFTER_MS = 200.0

COSTS_NO_LOAD: tuple[type, ...] = (Cold, Draining, NotReached)
"""Answers after which another try adds no load to an upstream; tries end with the replicas."""


class QueryCoordinator:
    """Hold the open queries of this instance.

    Every answer comes from the index version of its plan: an answer of another version is
    never merged, and a query whose version is retired under it starts again on another one.
    """

    __slots__ = (
        "_budgets",
        "_call_prefix",
        "_calls",
        "_deadlines",
        "_next_call",
        "_queries",
        "_router",
        "_view",
    )

    def __init__(self, call_prefix: str, router: Router) -> None:
        self._call_prefix = call_prefix
        self._router = router
        self._view = ClusterView()
        self._queries: dict[str, OpenQuery] = {}
        self._calls: dict[str, OpenCall] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._budgets: dict[tuple[str, str], RetryBudget] = {}
        self._next_call = 0

    def __len__(self) -> int:
        """Return the number of open queries."""
        return len(self._queries)

    def update(self, view: ClusterView) -> None:
        """Take over a new view; running queries keep their plan."""
        self._view = view

    def start(
        self, request: CallerRequest, traffic_class: TrafficClass, plan: QueryPlan, now_ms: float
    ) -> list[CoordinationStep]:
        """Send the first subqueries of a query."""
        query = OpenQuery.from_plan(request, traffic_class, plan, now_ms)
        self._queries[request.request_id] = query
        heappush(self._deadlines, (request.deadline_ms, request.request_id))
        self._budget_of(query).earn(len(plan.shards))
        return self._ask_all(query, now_ms)

    def finish_call(
        self, call_id: str, answer: UpstreamAnswer, now_ms: float
    ) -> list[CoordinationStep]:
        """Take in the end of a subquery; one that nobody waits for is dropped."""
        call = self._calls.pop(call_id, None)
        if call is None:
            return []
        self._router.note_answer(call.route.upstream_id, answer, now_ms - call.sent_ms, now_ms)
        call.shard.call_ids.remove(call_id)
        steps = self._take_answer(call, answer, now_ms)
        return steps + self._end_if_resolved(call.query, now_ms)

    def drop(self, request_id: str, now_ms: float) -> list[CoordinationStep]:
        """Forget a query whose caller is gone."""
        query = self._queries.pop(request_id, None)
        return [] if query is None else self._drop_calls(query, now_ms)

    def expire(self, now_ms: float) -> list[CoordinationStep]:
        """End the queries whose deadline has come, with what they have."""
        steps: list[CoordinationStep] = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, request_id = heappop(self._deadlines)
            query = self._queries.get(request_id)
            if query is not None:
                steps += self._end(query, self._outcome_of(query), now_ms)
        return steps

    def next_wake_ms(self) -> float | None:
        """Return the earliest deadline."""
        return self._deadlines[0][0] if self._deadlines else None

    def _take_answer(
        self, call: OpenCall, answer: UpstreamAnswer, now_ms: float
    ) -> list[CoordinationStep]:
        query, shard = call.query, call.shard
        if shard.is_resolved:
            return []
        match answer:
            case Records() if self._is_of_plan(query, shard, answer):
                return self._resolve(query, shard, answer.records, None, now_ms)
            case Records() if not query.traffic_class.idempotent:
                # It ran on another version than asked for. To try the next replica, as with
                # a query that only reads, would run it twice.
                outcome = Unknown("the upstream ran the request on another index version")
                return self._end(query, outcome, now_ms)
            case Records() | WrongVersion():
                return self._retire_replica(call, now_ms)
            case _ if not query.traffic_class.idempotent and not isinstance(answer, SURELY_NOT_RUN):
                # The upstream may have run the request, so a second try might run it twice.
                outcome = Unknown("the connection to the upstream ended without an answer")
                return self._end(query, outcome, now_ms)
        return self._try_again(query, shard, answer, now_ms)

    def _is_of_plan(self, query: OpenQuery, shard: ShardState, answer: Records) -> bool:
        return (answer.index_version, answer.shard) == (
            query.plan.index_version,
            shard.plan.shard,
        )

    def _resolve(
        self,
        query: OpenQuery,
        shard: ShardState,
        records: bytes | None,
        reason: MissingReason | None,
        now_ms: float,
    ) -> list[CoordinationStep]:
        shard.records, shard.missing_reason = records, reason
        query.unresolved -= 1
        return self._drop_shard_calls(shard, now_ms)

    def _retire_replica(self, call: OpenCall, now_ms: float) -> list[CoordinationStep]:
        query, shard = call.query, call.shard
        shard.wrong_version_count += 1
        steps = self._ask_shard(query, shard, now_ms, is_extra=True)
        if steps or shard.call_ids:
            return steps
        return self._start_again(query, now_ms) or self._resolve(
            query, shard, None, MissingReason.VERSION_RETIRED, now_ms
        )

    def _start_again(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        excluded = query.excluded_versions | {query.plan.index_version}
        plan = plan_query(self._view, query.plan.service, query.request.key, excluded)
        if plan is None:
            return []
        steps = self._drop_calls(query, now_ms)
        query.start_again(plan)
        return steps + self._ask_all(query, now_ms)

    def _try_again(
        self, query: OpenQuery, shard: ShardState, answer: UpstreamAnswer, now_ms: float
    ) -> list[CoordinationStep]:
        if shard.call_ids:
            return []
        if isinstance(answer, COSTS_NO_LOAD) or self._budget_of(query).spend():
            steps = self._ask_shard(query, shard, now_ms, is_extra=True)
            if steps:
                return steps
        return self._resolve(query, shard, None, _missing_reason_of(answer), now_ms)

    def _ask_all(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        steps: list[CoordinationStep] = []
        for shard in query.shards:
            asked = self._ask_shard(query, shard, now_ms, is_extra=False)
            if not asked:
                asked = self._resolve(query, shard, None, MissingReason.NO_REPLICA, now_ms)
            steps += asked
        return steps + self._end_if_resolved(query, now_ms)

    def _ask_shard(
        self, query: OpenQuery, shard: ShardState, now_ms: float, is_extra: bool
    ) -> list[CoordinationStep]:
        is_long = query.traffic_class.long_running
        route = self._router.choose(shard.plan.replicas, shard.tried, now_ms, is_long)
        remaining_ms = query.request.deadline_ms - now_ms
        if route is None or remaining_ms <= 0:
            return []
        self._next_call += 1
        call_id = f"{self._call_prefix}{self._next_call}"
        shard.tried.add(route.upstream_id)
        shard.call_ids.append(call_id)
        self._calls[call_id] = OpenCall(query, shard, route, now_ms)
        self._router.note_sent(route.upstream_id)
        query.subqueries += 1
        query.extra_subqueries += is_extra
        request = query.request
        subquery = Subquery(
            call_id=call_id,
            request_id=request.request_id,
            upstream_id=route.upstream_id,
            service=query.plan.service,
            index_version=query.plan.index_version,
            shard=shard.plan.shard,
            remaining_ms=remaining_ms,
            query=request.query,
            idempotent=query.traffic_class.idempotent,
            customer=request.customer,
            class_name=request.class_name,
            priority=query.traffic_class.priority,
            attempt=len(shard.tried),
        )
        return [AskUpstream(subquery, route)]

    def _end_if_resolved(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        if query.unresolved or query.request.request_id not in self._queries:
            return []
        return self._end(query, self._outcome_of(query), now_ms)

    def _end(self, query: OpenQuery, outcome: Outcome, now_ms: float) -> list[CoordinationStep]:
        del self._queries[query.request.request_id]
        steps = self._drop_calls(query, now_ms)
        queued_ms = query.started_ms - query.request.arrived_ms
        return [
            *steps,
            EndQuery(query.request, outcome, queued_ms, query.subqueries, query.extra_subqueries),
        ]

    def _outcome_of(self, query: OpenQuery) -> Outcome:
        coverage = query.coverage()
        if not query.traffic_class.idempotent and not coverage.is_whole:
            if any(shard.call_ids for shard in query.shards):
                return Unknown("the upstream did not answer in time")
            return NotRun(RefusalReason.UPSTREAM_SHED, SHED_RETRY_AFTER_MS)
        if coverage.answered_shards == 0 or coverage.share < query.request.least_coverage:
            return Failed("too few shards answered", coverage)
        return Answered(query.plan.index_version, coverage, query.records())

    def _drop_calls(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        return [step for shard in query.shards for step in self._drop_shard_calls(shard, now_ms)]

    def _drop_shard_calls(self, shard: ShardState, now_ms: float) -> list[CoordinationStep]:
        steps: list[CoordinationStep] = []
        for call_id in shard.call_ids:
            call = self._calls.pop(call_id)
            self._router.note_cancelled(call.route.upstream_id, now_ms - call.sent_ms)
            steps.append(DropCall(call_id, call.route))
        shard.call_ids.clear()
        return steps

    def _budget_of(self, query: OpenQuery) -> RetryBudget:
        name = (query.request.customer, query.request.class_name)
        budget = self._budgets.get(name)
        if budget is None:
            budget = self._budgets[name] = RetryBudget(query.traffic_class.retry_share)
        return budget


def _missing_reason_of(answer: UpstreamAnswer) -> MissingReason:
    match answer:
        case Shed():
            return MissingReason.SHED
        case Cold():
            return MissingReason.COLD
        case NotReached() | Draining():
            return MissingReason.NO_REPLICA
        case ConnectionLost():
            return MissingReason.CONNECTION_LOST
        case TimedOut():
            return MissingReason.DEADLINE
    return MissingReason.UPSTREAM_ERROR
