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
    """Protects upstreams from queries that crash them.

    Unproven queries go to one shard first, and queries that crash upstreams are not retried.
    """

    __slots__ = ("_planner", "_quarantine")

    def __init__(self, quarantine: QuarantineTracker, planner: CanaryPlanner) -> None:
        self._quarantine = quarantine
        self._planner = planner

    def update(self, view: ClusterView) -> None:
        """Use a new view."""
        self._planner.update(view)

    def fingerprint_of(self, request: CallerRequest) -> int:
        """Return the fingerprint of a request."""
        return compute_fingerprint(request.customer, request.class_name, request.query)

    def plan_canary(self, plan: QueryPlan, fingerprint: int) -> CanaryPlan | None:
        """Return the canary plan of an unproven query, or None if it may go to all shards."""
        if self._quarantine.is_proven(fingerprint):
            return None
        return self._planner.plan_first_step(plan, fingerprint)

    def record_answer(self, query: OpenQuery, now_ms: float) -> None:
        """Record that upstreams answered a query."""
        self._quarantine.record_answered(query.fingerprint, now_ms)

    def record_connection_loss(
        self, query: OpenQuery, upstream_id: str, open_queries: Iterable[OpenQuery], now_ms: float
    ) -> bool:
        """Record a strike for a query whose connection was lost; return whether it may be retried.

        ``open_queries`` are those with a call to the upstream. They are read once per crash,
        however many calls it ended.
        """
        if not self._quarantine.is_known_crash(upstream_id, now_ms):
            fingerprints = {found.fingerprint for found in open_queries}
            self._quarantine.record_crash(upstream_id, fingerprints | {query.fingerprint}, now_ms)
        if self._quarantine.record_lost_call(query.fingerprint, upstream_id, now_ms):
            return False
        return self._quarantine.may_retry(query.fingerprint, query.request.deadline_ms, now_ms)

    def is_quarantined(self, query: OpenQuery, now_ms: float) -> bool:
        """Return whether a query is quarantined."""
        return self._quarantine.remaining_ms(query.fingerprint, now_ms) > 0.0

    def is_suspected(self, query: OpenQuery) -> bool:
        """Return whether a query has a strike for a crash."""
        return self._quarantine.strikes(query.fingerprint) > 0
