"""Send unproven queries to one shard first, and stop retries of what crashes upstreams."""

from collections.abc import Iterable

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.coordination.open_query import OpenQuery
from geraniumlead.planning.query_plan import QueryPlan
from geraniumlead.quarantine.canary_plan import CanaryPlan
from geraniumlead.quarantine.canary_planner import CanaryPlanner
from geraniumlead.quarantine.fingerprint import compute_fingerprint
from geraniumlead.quarantine.quarantine_tracker import QuarantineTracker
from geraniumlead.requests.caller_request import CallerRequest


class CrashGuard:
    """Tie the queries of a coordinator to the quarantine book."""

    __slots__ = ("_book", "_planner")

    def __init__(self, book: QuarantineTracker, planner: CanaryPlanner) -> None:
        self._book = book
        self._planner = planner

    def update(self, view: ClusterView) -> None:
        """Take over a new view."""
        self._planner.update(view)

    def identify(self, request: CallerRequest) -> int:
        """Return the fingerprint of a request."""
        return compute_fingerprint(request.customer, request.class_name, request.query)

    def first_step(self, plan: QueryPlan, fingerprint: int) -> CanaryPlan | None:
        """Return the first step of an unproven query; None when it may go everywhere."""
        if self._book.is_proven(fingerprint):
            return None
        return self._planner.plan_first_step(plan, fingerprint)

    def note_answered(self, query: OpenQuery, now_ms: float) -> None:
        """Count a query that an upstream answered."""
        self._book.record_answered(query.fingerprint, now_ms)

    def note_lost(
        self, query: OpenQuery, upstream_id: str, open_queries: Iterable[OpenQuery], now_ms: float
    ) -> bool:
        """Strike a query whose connection was lost; return whether it may be tried again.

        ``open_queries`` are those with a call at the upstream. They are looked at once for
        each crash, however many calls it ended.
        """
        if not self._book.is_known_crash(upstream_id, now_ms):
            present = {found.fingerprint for found in open_queries}
            self._book.record_crash(upstream_id, present | {query.fingerprint}, now_ms)
        if self._book.record_lost_call(query.fingerprint, upstream_id, now_ms):
            return False
        return self._book.may_retry(query.fingerprint, query.request.deadline_ms, now_ms)

    def is_quarantined(self, query: OpenQuery, now_ms: float) -> bool:
        """Return whether the query is quarantined now."""
        return self._book.remaining_ms(query.fingerprint, now_ms) > 0.0

    def is_suspected(self, query: OpenQuery) -> bool:
        """Return whether a crash is held against the query."""
        return self._book.strikes(query.fingerprint) > 0
