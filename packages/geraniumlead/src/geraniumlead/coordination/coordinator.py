"""Fan a query out over its shards and end it with one outcome."""

from heapq import heappop, heappush

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.coordination.budget_book import BudgetBook
from geraniumlead.coordination.call_book import CallBook
from geraniumlead.coordination.crash_guard import CrashGuard
from geraniumlead.coordination.missing import missing_reason_of
from geraniumlead.coordination.open_call import OpenCall
from geraniumlead.coordination.open_query import OpenQuery
from geraniumlead.coordination.outcome import decide_outcome
from geraniumlead.coordination.shard_state import ShardState
from geraniumlead.coordination.steps import CoordinationStep, EndQuery
from geraniumlead.coordination.straggler_watch import NEVER_MS, StragglerWatch
from geraniumlead.documents.traffic_class import TrafficClass
from geraniumlead.planning.plan_query import plan_query
from geraniumlead.planning.query_plan import QueryPlan
from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.outcomes import Answered, Outcome, Unknown
from geraniumlead.requests.reasons import MissingReason
from geraniumlead.routing.router import Router
from geraniumlead.tail.straggler_detector import StragglerDetector
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

COSTS_NO_LOAD: tuple[type, ...] = (Cold, Draining, NotReached)
"""Answers after which another try adds no load to an upstream; tries end with the replicas."""


class QueryCoordinator:
    """Hold the open queries of this instance.

    Every answer comes from the index version of its plan: an answer of another version is
    never merged, and a query whose version is retired under it starts again on another one.
    This is the one layer that retries, so that tries never multiply.
    """

    __slots__ = ("_budgets", "_calls", "_queries", "_view", "_wakes", "_watch", "guard")

    def __init__(self, call_prefix: str, router: Router, guard: CrashGuard) -> None:
        self.guard = guard
        clock = StragglerDetector()
        self._view = ClusterView()
        self._queries: dict[str, OpenQuery] = {}
        self._wakes: list[tuple[float, str]] = []
        self._budgets = BudgetBook()
        self._calls = CallBook(call_prefix, router, clock)
        self._watch = StragglerWatch(self._calls, clock, self._budgets)

    def __len__(self) -> int:
        """Return the number of open queries."""
        return len(self._queries)

    def update(self, view: ClusterView) -> None:
        """Take over a new view; running queries keep their plan."""
        self._view = view
        self.guard.update(view)

    def start(
        self, request: CallerRequest, traffic_class: TrafficClass, plan: QueryPlan, now_ms: float
    ) -> list[CoordinationStep]:
        """Send the first subqueries of a query."""
        fingerprint = self.guard.identify(request)
        canary = self.guard.first_step(plan, fingerprint)
        first_plan = plan if canary is None else canary.plan
        query = OpenQuery.from_plan(request, traffic_class, first_plan, now_ms)
        query.fingerprint, query.canary = fingerprint, canary
        self._queries[request.request_id] = query
        heappush(self._wakes, (request.deadline_ms, request.request_id))
        self._budgets.earn(query)
        return self._ask_all(query, now_ms)

    def finish_call(
        self, call_id: str, answer: UpstreamAnswer, now_ms: float
    ) -> list[CoordinationStep]:
        """Take in the end of a subquery; one that nobody waits for is dropped."""
        call = self._calls.take(call_id, answer, now_ms)
        if call is None:
            return []
        steps = self._take_answer(call, answer, now_ms)
        return steps + self._end_if_done(call.query, now_ms)

    def give_up_lost_owners(self, now_ms: float) -> list[CoordinationStep]:
        """Send again what is out through owners that can't be reached any more.

        Failure: an owner is killed with a peer's subqueries. Nobody answers them, and a class
        without hedges would wait for its whole deadline of seconds.
        """
        steps: list[CoordinationStep] = []
        for call_id in self._calls.find_at_lost_owners(now_ms):
            if self._calls.is_out(call_id):
                self._calls.allow_again(call_id)
                steps += self.finish_call(call_id, TimedOut(), now_ms)
        return steps

    def drop(self, request_id: str, now_ms: float) -> list[CoordinationStep]:
        """Forget a query whose caller is gone."""
        query = self._queries.pop(request_id, None)
        return [] if query is None else self._calls.drop_query(query, now_ms)

    def expire(self, now_ms: float) -> list[CoordinationStep]:
        """Look at stragglers, and end the queries whose deadline has come."""
        steps: list[CoordinationStep] = []
        while self._wakes and self._wakes[0][0] <= now_ms:
            _, request_id = heappop(self._wakes)
            query = self._queries.get(request_id)
            if query is None:
                continue
            if query.request.deadline_ms <= now_ms:
                steps += self._end(query, decide_outcome(query), now_ms)
            elif self._is_hopeless_canary(query, now_ms):
                steps += self._give_up_canary(query, now_ms)
            elif query.check_ms <= now_ms:
                steps += self._watch.check(query, now_ms)
                self._arm_check(query)
                steps += self._end_if_stragglers_are_lost(query, now_ms)
        return steps

    def next_wake_ms(self) -> float | None:
        """Return the earliest deadline or check."""
        return self._wakes[0][0] if self._wakes else None

    def _arm_check(self, query: OpenQuery) -> None:
        if query.check_ms < NEVER_MS:
            heappush(self._wakes, (query.check_ms, query.request.request_id))

    def _take_answer(
        self, call: OpenCall, answer: UpstreamAnswer, now_ms: float
    ) -> list[CoordinationStep]:
        query, shard = call.query, call.shard
        if shard.is_resolved:
            return []
        may_try_again = True
        if isinstance(answer, ConnectionLost):
            may_try_again = self._note_lost(call, now_ms)
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
            case _ if not query.traffic_class.idempotent and not isinstance(answer, NOT_EXECUTED):
                # The upstream may have run the request, so a second try might run it twice.
                outcome = Unknown("the connection to the upstream ended without an answer")
                return self._end(query, outcome, now_ms)
        if not may_try_again and not shard.call_ids:
            return self._resolve(query, shard, None, MissingReason.CONNECTION_LOST, now_ms)
        return self._try_again(query, shard, answer, now_ms)

    def _note_lost(self, call: OpenCall, now_ms: float) -> bool:
        upstream_id = call.route.upstream_id
        present = self._calls.queries_at(upstream_id)
        return self.guard.note_lost(call.query, upstream_id, present, now_ms)

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
        steps = self._calls.drop_shard(shard, now_ms)
        return steps + self._follow_canary(query, shard, now_ms)

    def _follow_canary(
        self, query: OpenQuery, shard: ShardState, now_ms: float
    ) -> list[CoordinationStep]:
        """Ask the other shards once the first one has its answer.

        A first one without an answer has no followers: it may have crashed its upstreams, or
        another instance's did.
        """
        canary = query.canary
        if canary is None or query.shards[canary.position] is not shard:
            return []
        query.canary = None
        others = [found for found in query.shards if found is not shard]
        if shard.records is not None:
            self.guard.note_answered(query, now_ms)
            return self._ask_shards(query, others, now_ms)
        for other in others:
            other.missing_reason = shard.missing_reason
        query.unresolved -= len(others)
        return []

    def _is_hopeless_canary(self, query: OpenQuery, now_ms: float) -> bool:
        # A non-idempotent call that is out may run: cut off, "not run" would be a lie.
        if query.canary is None or not query.traffic_class.idempotent:
            return False
        return self.guard.is_quarantined(query, now_ms)

    def _give_up_canary(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        assert query.canary is not None
        first = query.shards[query.canary.position]
        reason = MissingReason.CONNECTION_LOST
        steps = self._resolve(query, first, None, reason, now_ms)
        return steps + self._end(query, decide_outcome(query), now_ms)

    def _retire_replica(self, call: OpenCall, now_ms: float) -> list[CoordinationStep]:
        query, shard = call.query, call.shard
        shard.wrong_version_count += 1
        steps = self._calls.ask_shard(query, shard, now_ms)
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
        steps = self._calls.drop_query(query, now_ms)
        if query.canary is not None:
            query.canary = self.guard.first_step(plan, query.fingerprint)
            plan = plan if query.canary is None else query.canary.plan
        query.start_again(plan)
        return steps + self._ask_all(query, now_ms)

    def _try_again(
        self, query: OpenQuery, shard: ShardState, answer: UpstreamAnswer, now_ms: float
    ) -> list[CoordinationStep]:
        if shard.call_ids:
            return []
        reason = missing_reason_of(answer)
        if isinstance(answer, COSTS_NO_LOAD) or self._budgets.retries_of(query).spend():
            steps = self._calls.ask_shard(query, shard, now_ms)
            if steps:
                return steps
            if not isinstance(answer, Shed) and self._park(query, shard, reason, now_ms):
                return []
        return self._resolve(query, shard, None, reason, now_ms)

    def _park(
        self, query: OpenQuery, shard: ShardState, reason: MissingReason, now_ms: float
    ) -> bool:
        if query.canary is not None and self.guard.is_suspected(query):
            # Both replicas may be down for its sake; to wait for them would hold a place.
            return False
        armed_ms = query.check_ms
        if not self._watch.park(query, shard, reason, now_ms):
            return False
        if query.check_ms < armed_ms:
            self._arm_check(query)
        return True

    def _ask_all(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        shards = query.shards
        if query.canary is not None:
            shards = [query.shards[query.canary.position]]
        return self._ask_shards(query, shards, now_ms) + self._end_if_done(query, now_ms)

    def _ask_shards(
        self, query: OpenQuery, shards: list[ShardState], now_ms: float
    ) -> list[CoordinationStep]:
        steps: list[CoordinationStep] = []
        for shard in shards:
            asked = self._calls.ask_shard(query, shard, now_ms)
            steps += asked
            if asked:
                steps += self._probe(query, shard, now_ms)
            elif not self._park(query, shard, MissingReason.NO_REPLICA, now_ms):
                steps += self._resolve(query, shard, None, MissingReason.NO_REPLICA, now_ms)
        self._watch.schedule(query, now_ms)
        self._arm_check(query)
        return steps

    def _probe(self, query: OpenQuery, shard: ShardState, now_ms: float) -> list[CoordinationStep]:
        if not query.traffic_class.idempotent or not self._calls.has_suspects():
            return []
        budget = self._budgets.hedges_of(query)
        if not budget.spend():
            return []
        steps = self._calls.probe_suspect(query, shard, now_ms)
        if not steps:
            budget.give_back()
        return list(steps)

    def _end_if_done(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        if query.request.request_id not in self._queries:
            return []
        if query.unresolved == 0:
            return self._end(query, decide_outcome(query), now_ms)
        # Counted here, as a look at every shard for every answer would grow with the square.
        if query.unresolved == query.parked:
            return self._end_if_stragglers_are_lost(query, now_ms)
        return []

    def _end_if_stragglers_are_lost(
        self, query: OpenQuery, now_ms: float
    ) -> list[CoordinationStep]:
        """End a query early whose class may be answered in part.

        Its caller waits for an answer that is whole enough, and what is missing is beyond
        reach: to wait longer would cost latency and seldom bring a shard.
        """
        if query.traffic_class.waits_for_all or not query.has_least_coverage():
            return []
        if not self._watch.is_beyond_reach(query, now_ms):
            return []
        steps: list[CoordinationStep] = []
        for shard in query.shards:
            if not shard.is_resolved:
                parked = shard.parked_until_ms is not None
                reason = shard.last_reason if parked else MissingReason.OVERDUE
                steps += self._resolve(query, shard, None, reason, now_ms)
        return steps + self._end(query, decide_outcome(query), now_ms)

    def _end(self, query: OpenQuery, outcome: Outcome, now_ms: float) -> list[CoordinationStep]:
        del self._queries[query.request.request_id]
        if isinstance(outcome, Answered) and outcome.coverage.is_whole:
            self.guard.note_answered(query, now_ms)
        steps = self._calls.drop_query(query, now_ms)
        queued_ms = query.started_ms - query.request.arrived_ms
        return [
            *steps,
            EndQuery(query.request, outcome, queued_ms, query.subqueries, query.extra_subqueries),
        ]
