from geraniumlead.coordination.budget_registry import BudgetRegistry
from geraniumlead.coordination.call_tracker import CallTracker
from geraniumlead.coordination.open_query import OpenQuery
from geraniumlead.coordination.shard_state import ShardState
from geraniumlead.coordination.steps import SendSubquery
from geraniumlead.requests.reasons import MissingReason
from geraniumlead.tail_latency.straggler_detector import StragglerDetector

MAX_HEDGES = 2
"""Maximum number of hedges per shard. With one hedge and 1,200 shards, too many queries have a
shard where both answers are late."""

INITIAL_PARK_MS = 20.0
MAX_PARK_MS = 320.0
NEVER_MS = float("inf")


class StragglerMonitor:
    """Hedges late shards, retries parked ones, and detects those that are unlikely to answer.

    Each query has one scheduled check instead of a timer per shard, so 1,200 shards need no
    more timers than one.
    """

    __slots__ = ("_budgets", "_calls", "_detector")

    def __init__(
        self, calls: CallTracker, detector: StragglerDetector, budgets: BudgetRegistry
    ) -> None:
        self._calls = calls
        self._detector = detector
        self._budgets = budgets

    def park(
        self, query: OpenQuery, shard: ShardState, reason: MissingReason, now_ms: float
    ) -> bool:
        """Let a shard wait for a replica; return False if the deadline would come first.

        Load pattern: all replicas of a shard are briefly cold, leaving or restarting. Without
        parking, the query would give up the shard in the first millisecond.
        """
        wait_ms = min(MAX_PARK_MS, INITIAL_PARK_MS * 2**shard.parked_count)
        if not shard.plan.replicas or now_ms + wait_ms >= query.request.deadline_ms:
            return False
        shard.parked_until_ms = now_ms + wait_ms
        shard.parked_count += 1
        shard.parked_reason = reason
        shard.tried.clear()
        query.parked_count += 1
        query.next_check_ms = min(query.next_check_ms, shard.parked_until_ms)
        return True

    def schedule(self, query: OpenQuery, now_ms: float) -> None:
        """Schedule the first check of a query whose subqueries were just sent."""
        query.monitored = list(query.shards)
        delay_ms = self._delay_ms(query, now_ms)
        if delay_ms is not None:
            query.next_check_ms = min(query.next_check_ms, now_ms + delay_ms)

    def check(self, query: OpenQuery, now_ms: float) -> list[SendSubquery]:
        """Send subqueries for late and parked shards, and schedule the next check."""
        delay_ms = self._delay_ms(query, now_ms)
        give_up_ms = self._detector.give_up_ms(query.plan.service, now_ms)
        query.monitored = [shard for shard in query.monitored if not shard.is_resolved]
        query.next_check_ms = NEVER_MS
        steps: list[SendSubquery] = []
        for shard in query.monitored:
            if shard.parked_until_ms is not None:
                steps += self._retry_parked(query, shard, now_ms)
            elif delay_ms is not None and now_ms >= shard.sent_ms + delay_ms:
                steps += self._hedge_late(query, shard, now_ms)
                if give_up_ms is not None and now_ms >= shard.sent_ms + give_up_ms:
                    steps += self._replace_lost(query, shard, now_ms)
            due_ms = self._next_check_ms(shard, delay_ms, give_up_ms, now_ms)
            query.next_check_ms = min(query.next_check_ms, due_ms)
        return steps

    def expects_no_answer(self, query: OpenQuery, now_ms: float) -> bool:
        """Return whether none of the missing answers is likely to come."""
        give_up_ms = self._detector.give_up_ms(query.plan.service, now_ms)
        return all(
            shard.is_resolved
            or shard.parked_until_ms is not None
            or (
                give_up_ms is not None and shard.is_overdue and now_ms >= shard.sent_ms + give_up_ms
            )
            for shard in query.monitored
        )

    def _delay_ms(self, query: OpenQuery, now_ms: float) -> float | None:
        traffic_class = query.traffic_class
        if not traffic_class.idempotent or traffic_class.hedge_share <= 0.0:
            return None
        return self._detector.delay_ms(query.plan.service, traffic_class.hedge_share, now_ms)

    def _retry_parked(
        self, query: OpenQuery, shard: ShardState, now_ms: float
    ) -> list[SendSubquery]:
        if now_ms < (shard.parked_until_ms or 0.0):
            return []
        query.parked_count -= 1
        shard.parked_until_ms = None
        steps = self._calls.send_subquery(query, shard, now_ms)
        if not steps and not self.park(query, shard, shard.parked_reason, now_ms):
            # The deadline comes before the next retry and ends the query.
            query.parked_count += 1
            shard.parked_until_ms = query.request.deadline_ms
        return steps

    def _hedge_late(self, query: OpenQuery, shard: ShardState, now_ms: float) -> list[SendSubquery]:
        if shard.is_overdue or not shard.call_ids:
            return []
        self._calls.record_overdue(shard, now_ms)
        budget = self._budgets.hedges_of(query)
        if shard.hedges >= MAX_HEDGES or not budget.spend():
            return []
        steps = self._calls.send_subquery(query, shard, now_ms, skip_avoided=True)
        if not steps:
            budget.refund()
            return []
        shard.hedges += 1
        return steps

    def _replace_lost(
        self, query: OpenQuery, shard: ShardState, now_ms: float
    ) -> list[SendSubquery]:
        """Retry a shard whose answer is unlikely to come, as after a failure.

        When a replica stops answering, ordinary late answers already use the whole hedge
        budget. Without the retry budget, such a query would wait for its deadline.
        """
        budget = self._budgets.retries_of(query)
        if not budget.spend():
            return []
        steps = self._calls.send_subquery(query, shard, now_ms, skip_avoided=True)
        if not steps:
            budget.refund()
        return steps

    def _next_check_ms(
        self, shard: ShardState, delay_ms: float | None, give_up_ms: float | None, now_ms: float
    ) -> float:
        if shard.parked_until_ms is not None:
            return shard.parked_until_ms
        wait_ms = give_up_ms if shard.is_overdue else delay_ms
        if wait_ms is None:
            return NEVER_MS
        due_ms = shard.sent_ms + wait_ms
        return due_ms if due_ms > now_ms else NEVER_MS
