from heapq import heappop, heappush

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.coordination.budget_registry import BudgetRegistry
from geraniumlead.coordination.call_tracker import CallTracker
from geraniumlead.coordination.crash_guard import CrashGuard
from geraniumlead.coordination.missing_reason import missing_reason_of
from geraniumlead.coordination.open_call import OpenCall
from geraniumlead.coordination.open_query import OpenQuery
from geraniumlead.coordination.outcome import decide_outcome
from geraniumlead.coordination.shard_state import ShardState
from geraniumlead.coordination.steps import CoordinationStep, EndQuery
from geraniumlead.coordination.straggler_monitor import NEVER_MS, StragglerMonitor
from geraniumlead.documents.traffic_class import TrafficClass
from geraniumlead.planning.plan_query import plan_query
from geraniumlead.planning.query_plan import QueryPlan
from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.outcomes import Answered, Outcome, Unknown
from geraniumlead.requests.reasons import MissingReason
from geraniumlead.routing.router import Router
from geraniumlead.tail_latency.straggler_detector import StragglerDetector
from geraniumlead.upstreams.answers import (
    NOT_EXECUTED,
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

ANSWERS_WITHOUT_LOAD: tuple[type, ...] = (Cold, Draining, NotReached)
"""Answers after which a retry adds no load to an upstream and needs no budget; retries end when
all replicas were tried."""


class QueryCoordinator:
    """Sends the subqueries of each open query to its shards and merges their answers.

    All merged answers come from the index version of the query's plan: an answer of another
    version is never merged, and a query whose version is retired while it runs is restarted
    on another version. No other layer retries, so retries never multiply.
    """

    __slots__ = ("_budgets", "_calls", "_queries", "_stragglers", "_view", "_wakes", "guard")

    def __init__(self, call_prefix: str, router: Router, guard: CrashGuard) -> None:
        self.guard = guard
        detector = StragglerDetector()
        self._view = ClusterView()
        self._queries: dict[str, OpenQuery] = {}
        self._wakes: list[tuple[float, str]] = []
        self._budgets = BudgetRegistry()
        self._calls = CallTracker(call_prefix, router, detector)
        self._stragglers = StragglerMonitor(self._calls, detector, self._budgets)

    def __len__(self) -> int:
        """Return the number of open queries."""
        return len(self._queries)

    def update(self, view: ClusterView) -> None:
        """Use a new view for new queries; running queries keep their plan."""
        self._view = view
        self.guard.update(view)

    def start(
        self, request: CallerRequest, traffic_class: TrafficClass, plan: QueryPlan, now_ms: float
    ) -> list[CoordinationStep]:
        """Send the first subqueries of a query."""
        fingerprint = self.guard.fingerprint_of(request)
        canary = self.guard.plan_canary(plan, fingerprint)
        first_plan = plan if canary is None else canary.plan
        query = OpenQuery.from_plan(request, traffic_class, first_plan, now_ms)
        query.fingerprint, query.canary = fingerprint, canary
        self._queries[request.request_id] = query
        heappush(self._wakes, (request.deadline_ms, request.request_id))
        self._budgets.earn(query)
        return self._send_first_subqueries(query, now_ms)

    def finish_call(
        self, call_id: str, answer: UpstreamAnswer, now_ms: float
    ) -> list[CoordinationStep]:
        """Process the result of a subquery; ignore it if the call is no longer open."""
        call = self._calls.finish(call_id, answer, now_ms)
        if call is None:
            return []
        steps = self._handle_answer(call, answer, now_ms)
        return steps + self._end_if_done(call.query, now_ms)

    def retry_calls_at_lost_owners(self, now_ms: float) -> list[CoordinationStep]:
        """Retry the calls through owners that are no longer reachable.

        If an owner is killed while it holds a peer's subqueries, they are never answered.
        Without this, a class without hedges would wait for its whole deadline of seconds.
        """
        steps: list[CoordinationStep] = []
        for call_id in self._calls.find_calls_at_lost_owners(now_ms):
            if self._calls.is_open(call_id):
                self._calls.allow_retry(call_id)
                steps += self.finish_call(call_id, TimedOut(), now_ms)
        return steps

    def cancel(self, request_id: str, now_ms: float) -> list[CoordinationStep]:
        """Cancel a query whose caller disconnected."""
        query = self._queries.pop(request_id, None)
        return [] if query is None else self._calls.cancel_query(query, now_ms)

    def expire(self, now_ms: float) -> list[CoordinationStep]:
        """Check the stragglers that are due, and end the queries whose deadline has passed."""
        steps: list[CoordinationStep] = []
        while self._wakes and self._wakes[0][0] <= now_ms:
            _, request_id = heappop(self._wakes)
            query = self._queries.get(request_id)
            if query is None:
                continue
            if query.request.deadline_ms <= now_ms:
                steps += self._end(query, decide_outcome(query), now_ms)
            elif self._is_quarantined_canary(query, now_ms):
                steps += self._end_canary(query, now_ms)
            elif query.next_check_ms <= now_ms:
                steps += self._stragglers.check(query, now_ms)
                self._schedule_check(query)
                steps += self._end_if_stragglers_are_lost(query, now_ms)
        return steps

    def next_wake_ms(self) -> float | None:
        """Return the time of the earliest deadline or check, or None if there is none."""
        return self._wakes[0][0] if self._wakes else None

    def _schedule_check(self, query: OpenQuery) -> None:
        if query.next_check_ms < NEVER_MS:
            heappush(self._wakes, (query.next_check_ms, query.request.request_id))

    def _handle_answer(
        self, call: OpenCall, answer: UpstreamAnswer, now_ms: float
    ) -> list[CoordinationStep]:
        query, shard = call.query, call.shard
        if shard.is_resolved:
            return []
        may_retry = True
        if isinstance(answer, ConnectionLost):
            may_retry = self._record_connection_loss(call, now_ms)
        match answer:
            case Records() if self._matches_plan(query, shard, answer):
                return self._resolve(query, shard, answer.records, None, now_ms)
            case Records() if not query.traffic_class.idempotent:
                # The request ran on another version than requested. Trying the next replica,
                # as for a query that only reads, would run it twice.
                outcome = Unknown("the upstream ran the request on another index version")
                return self._end(query, outcome, now_ms)
            case Records() | WrongVersion():
                return self._handle_wrong_version(call, now_ms)
            case _ if not query.traffic_class.idempotent and not isinstance(answer, NOT_EXECUTED):
                # The upstream may have run the request, so a retry could run it twice.
                outcome = Unknown("the connection to the upstream ended without an answer")
                return self._end(query, outcome, now_ms)
        if not may_retry and not shard.call_ids:
            return self._resolve(query, shard, None, MissingReason.CONNECTION_LOST, now_ms)
        return self._retry(query, shard, answer, now_ms)

    def _record_connection_loss(self, call: OpenCall, now_ms: float) -> bool:
        upstream_id = call.route.upstream_id
        open_queries = self._calls.open_queries_at(upstream_id)
        return self.guard.record_connection_loss(call.query, upstream_id, open_queries, now_ms)

    def _matches_plan(self, query: OpenQuery, shard: ShardState, answer: Records) -> bool:
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
        query.unresolved_count -= 1
        steps = self._calls.cancel_shard(shard, now_ms)
        return steps + self._continue_after_canary(query, shard, now_ms)

    def _continue_after_canary(
        self, query: OpenQuery, shard: ShardState, now_ms: float
    ) -> list[CoordinationStep]:
        """Send the subqueries of the other shards once the canary shard has answered.

        If the canary shard has no answer, the other shards are not queried: the query may have
        crashed the upstreams here or at another instance.
        """
        canary = query.canary
        if canary is None or query.shards[canary.position] is not shard:
            return []
        query.canary = None
        others = [found for found in query.shards if found is not shard]
        if shard.records is not None:
            self.guard.record_answer(query, now_ms)
            return self._send_subqueries(query, others, now_ms)
        for other in others:
            other.missing_reason = shard.missing_reason
        query.unresolved_count -= len(others)
        return []

    def _is_quarantined_canary(self, query: OpenQuery, now_ms: float) -> bool:
        # A non-idempotent call in progress may run, so ending it as "not run" could be false.
        if query.canary is None or not query.traffic_class.idempotent:
            return False
        return self.guard.is_quarantined(query, now_ms)

    def _end_canary(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        assert query.canary is not None
        first = query.shards[query.canary.position]
        reason = MissingReason.CONNECTION_LOST
        steps = self._resolve(query, first, None, reason, now_ms)
        return steps + self._end(query, decide_outcome(query), now_ms)

    def _handle_wrong_version(self, call: OpenCall, now_ms: float) -> list[CoordinationStep]:
        query, shard = call.query, call.shard
        shard.wrong_version_count += 1
        steps = self._calls.send_subquery(query, shard, now_ms)
        if steps or shard.call_ids:
            return steps
        return self._restart(query, now_ms) or self._resolve(
            query, shard, None, MissingReason.VERSION_RETIRED, now_ms
        )

    def _restart(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        excluded = query.excluded_versions | {query.plan.index_version}
        plan = plan_query(self._view, query.plan.service, query.request.key, excluded)
        if plan is None:
            return []
        steps = self._calls.cancel_query(query, now_ms)
        if query.canary is not None:
            query.canary = self.guard.plan_canary(plan, query.fingerprint)
            plan = plan if query.canary is None else query.canary.plan
        query.restart(plan)
        return steps + self._send_first_subqueries(query, now_ms)

    def _retry(
        self, query: OpenQuery, shard: ShardState, answer: UpstreamAnswer, now_ms: float
    ) -> list[CoordinationStep]:
        if shard.call_ids:
            return []
        reason = missing_reason_of(answer)
        if isinstance(answer, ANSWERS_WITHOUT_LOAD) or self._budgets.retries_of(query).spend():
            steps = self._calls.send_subquery(query, shard, now_ms)
            if steps:
                return steps
            if not isinstance(answer, Shed) and self._park(query, shard, reason, now_ms):
                return []
        return self._resolve(query, shard, None, reason, now_ms)

    def _park(
        self, query: OpenQuery, shard: ShardState, reason: MissingReason, now_ms: float
    ) -> bool:
        if query.canary is not None and self.guard.is_suspected(query):
            # The query may have crashed all replicas; waiting for them would occupy a slot.
            return False
        previous_check_ms = query.next_check_ms
        if not self._stragglers.park(query, shard, reason, now_ms):
            return False
        if query.next_check_ms < previous_check_ms:
            self._schedule_check(query)
        return True

    def _send_first_subqueries(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        shards = query.shards
        if query.canary is not None:
            shards = [query.shards[query.canary.position]]
        return self._send_subqueries(query, shards, now_ms) + self._end_if_done(query, now_ms)

    def _send_subqueries(
        self, query: OpenQuery, shards: list[ShardState], now_ms: float
    ) -> list[CoordinationStep]:
        steps: list[CoordinationStep] = []
        for shard in shards:
            sent = self._calls.send_subquery(query, shard, now_ms)
            steps += sent
            if sent:
                steps += self._probe(query, shard, now_ms)
            elif not self._park(query, shard, MissingReason.NO_REPLICA, now_ms):
                steps += self._resolve(query, shard, None, MissingReason.NO_REPLICA, now_ms)
        self._stragglers.schedule(query, now_ms)
        self._schedule_check(query)
        return steps

    def _probe(self, query: OpenQuery, shard: ShardState, now_ms: float) -> list[CoordinationStep]:
        if not query.traffic_class.idempotent or not self._calls.has_suspects():
            return []
        budget = self._budgets.hedges_of(query)
        if not budget.spend():
            return []
        steps = self._calls.probe_suspect(query, shard, now_ms)
        if not steps:
            budget.refund()
        return list(steps)

    def _end_if_done(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        if query.request.request_id not in self._queries:
            return []
        if query.unresolved_count == 0:
            return self._end(query, decide_outcome(query), now_ms)
        # Uses counters, as scanning every shard for every answer would take quadratic time.
        if query.unresolved_count == query.parked_count:
            return self._end_if_stragglers_are_lost(query, now_ms)
        return []

    def _end_if_stragglers_are_lost(
        self, query: OpenQuery, now_ms: float
    ) -> list[CoordinationStep]:
        """End a query early if its class accepts partial answers and its coverage is sufficient.

        The missing shards are unlikely to answer, so waiting longer would add latency and
        rarely another shard.
        """
        if query.traffic_class.waits_for_all or not query.has_min_coverage():
            return []
        if not self._stragglers.expects_no_answer(query, now_ms):
            return []
        steps: list[CoordinationStep] = []
        for shard in query.shards:
            if not shard.is_resolved:
                parked = shard.parked_until_ms is not None
                reason = shard.parked_reason if parked else MissingReason.OVERDUE
                steps += self._resolve(query, shard, None, reason, now_ms)
        return steps + self._end(query, decide_outcome(query), now_ms)

    def _end(self, query: OpenQuery, outcome: Outcome, now_ms: float) -> list[CoordinationStep]:
        del self._queries[query.request.request_id]
        if isinstance(outcome, Answered) and outcome.coverage.is_whole:
            self.guard.record_answer(query, now_ms)
        steps = self._calls.cancel_query(query, now_ms)
        queued_ms = query.started_ms - query.request.arrived_ms
        return [
            *steps,
            EndQuery(query.request, outcome, queued_ms, query.subqueries, query.extra_subqueries),
        ]
