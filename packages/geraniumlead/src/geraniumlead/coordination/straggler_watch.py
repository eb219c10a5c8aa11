"""Look after the shards of open queries that are late or can't be asked now."""

from geraniumlead.coordination.budget_book import BudgetBook
from geraniumlead.coordination.call_book import CallBook
from geraniumlead.coordination.open_query import OpenQuery
from geraniumlead.coordination.shard_state import ShardState
from geraniumlead.coordination.steps import AskUpstream
from geraniumlead.requests.reasons import MissingReason
from geraniumlead.tail.straggler_detector import StragglerDetector

MOST_HEDGES = 2
"""Hedges of one shard: at 1,200 shards one alone leaves two late answers in too many queries."""

FIRST_PARK_MS = 20.0
MOST_PARK_MS = 320.0
NEVER_MS = float("inf")


class StragglerWatch:
    """Hedge late shards, ask parked ones again, and find those beyond reach.

    A query has one check at a time and not a timer for each shard, so 1,200 shards cost no
    more timers than one.
    """

    __slots__ = ("_budgets", "_calls", "_clock")

    def __init__(self, calls: CallBook, clock: StragglerDetector, budgets: BudgetBook) -> None:
        self._calls = calls
        self._clock = clock
        self._budgets = budgets

    def park(
        self, query: OpenQuery, shard: ShardState, reason: MissingReason, now_ms: float
    ) -> bool:
        """Let a shard wait for a replica; False when the deadline comes before.

        Load pattern: all replicas of a shard are cold, leaving or restarting for a moment.
        Without this the query gives the shard up in the first millisecond of its deadline.
        """
        wait_ms = min(MOST_PARK_MS, FIRST_PARK_MS * 2**shard.parked_count)
        if not shard.plan.replicas or now_ms + wait_ms >= query.request.deadline_ms:
            return False
        shard.parked_until_ms = now_ms + wait_ms
        shard.parked_count += 1
        shard.last_reason = reason
        shard.tried.clear()
        query.parked += 1
        query.check_ms = min(query.check_ms, shard.parked_until_ms)
        return True

    def schedule(self, query: OpenQuery, now_ms: float) -> None:
        """Set the first check of a query whose subqueries were sent now."""
        query.watched = list(query.shards)
        delay_ms = self._delay_ms(query, now_ms)
        if delay_ms is not None:
            query.check_ms = min(query.check_ms, now_ms + delay_ms)

    def check(self, query: OpenQuery, now_ms: float) -> list[AskUpstream]:
        """Ask again for what is late or parked, and set the next check."""
        delay_ms = self._delay_ms(query, now_ms)
        reach_ms = self._clock.give_up_ms(query.plan.service, now_ms)
        query.watched = [shard for shard in query.watched if not shard.is_resolved]
        query.check_ms = NEVER_MS
        steps: list[AskUpstream] = []
        for shard in query.watched:
            if shard.parked_until_ms is not None:
                steps += self._ask_parked(query, shard, now_ms)
            elif delay_ms is not None and now_ms >= shard.sent_ms + delay_ms:
                steps += self._take_late(query, shard, now_ms)
                if reach_ms is not None and now_ms >= shard.sent_ms + reach_ms:
                    steps += self._replace_lost(query, shard, now_ms)
            due_ms = self._next_check_ms(shard, delay_ms, reach_ms, now_ms)
            query.check_ms = min(query.check_ms, due_ms)
        return steps

    def is_beyond_reach(self, query: OpenQuery, now_ms: float) -> bool:
        """Return whether nothing that is still out is likely to come."""
        reach_ms = self._clock.give_up_ms(query.plan.service, now_ms)
        return all(
            shard.is_resolved
            or shard.parked_until_ms is not None
            or (reach_ms is not None and shard.is_overdue and now_ms >= shard.sent_ms + reach_ms)
            for shard in query.watched
        )

    def _delay_ms(self, query: OpenQuery, now_ms: float) -> float | None:
        traffic_class = query.traffic_class
        if not traffic_class.idempotent or traffic_class.hedge_share <= 0.0:
            return None
        return self._clock.delay_ms(query.plan.service, traffic_class.hedge_share, now_ms)

    def _ask_parked(self, query: OpenQuery, shard: ShardState, now_ms: float) -> list[AskUpstream]:
        if now_ms < (shard.parked_until_ms or 0.0):
            return []
        query.parked -= 1
        shard.parked_until_ms = None
        steps = self._calls.ask_shard(query, shard, now_ms)
        if not steps and not self.park(query, shard, shard.last_reason, now_ms):
            # The deadline is nearer than the next try; it ends the query.
            query.parked += 1
            shard.parked_until_ms = query.request.deadline_ms
        return steps

    def _take_late(self, query: OpenQuery, shard: ShardState, now_ms: float) -> list[AskUpstream]:
        if shard.is_overdue or not shard.call_ids:
            return []
        self._calls.note_overdue(shard, now_ms)
        budget = self._budgets.hedges_of(query)
        if shard.hedges >= MOST_HEDGES or not budget.spend():
            return []
        steps = self._calls.ask_shard(query, shard, now_ms, only_good=True)
        if not steps:
            budget.give_back()
            return []
        shard.hedges += 1
        return steps

    def _replace_lost(
        self, query: OpenQuery, shard: ShardState, now_ms: float
    ) -> list[AskUpstream]:
        """Ask again for a shard whose answer is beyond reach, as after a failure.

        Failure: a replica stops answering. The ordinary late answers use the whole budget of
        hedges, so without the budget of retries such a query waits for its deadline.
        """
        budget = self._budgets.retries_of(query)
        if not budget.spend():
            return []
        steps = self._calls.ask_shard(query, shard, now_ms, only_good=True)
        if not steps:
            budget.give_back()
        return steps

    def _next_check_ms(
        self, shard: ShardState, delay_ms: float | None, reach_ms: float | None, now_ms: float
    ) -> float:
        if shard.parked_until_ms is not None:
            return shard.parked_until_ms
        wait_ms = reach_ms if shard.is_overdue else delay_ms
        if wait_ms is None:
            return NEVER_MS
        due_ms = shard.sent_ms + wait_ms
        return due_ms if due_ms > now_ms else NEVER_MS
