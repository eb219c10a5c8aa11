from collections.abc import Iterator

from geraniumlead.coordination.open_call import OpenCall
from geraniumlead.coordination.open_query import OpenQuery
from geraniumlead.coordination.shard_state import ShardState
from geraniumlead.coordination.steps import CancelSubquery, CoordinationStep, SendSubquery
from geraniumlead.routing.router import Router
from geraniumlead.routing.subquery_route import SubqueryRoute
from geraniumlead.tail_latency.straggler_detector import StragglerDetector
from geraniumlead.upstreams.answers import Records, UpstreamAnswer
from geraniumlead.upstreams.subquery import Subquery


class CallTracker:
    """Sends the subqueries of open queries and tracks the calls in progress.

    It maps every open call to its shard and reports the results to the router.
    """

    __slots__ = ("_calls", "_detector", "_next_call", "_prefix", "_router")

    def __init__(self, prefix: str, router: Router, detector: StragglerDetector) -> None:
        self._prefix = prefix
        self._router = router
        self._detector = detector
        self._calls: dict[str, OpenCall] = {}
        self._next_call = 0

    def send_subquery(
        self, query: OpenQuery, shard: ShardState, now_ms: float, skip_avoided: bool = False
    ) -> list[SendSubquery]:
        """Send a subquery to the best untried replica; return no step if there is none."""
        if query.request.deadline_ms <= now_ms:
            return []
        is_long = query.traffic_class.long_running
        route = self._router.choose(shard.plan.replicas, shard.tried, now_ms, is_long, skip_avoided)
        if route is None:
            return []
        step = self._send(query, shard, route, now_ms)
        shard.call_ids.append(step.subquery.call_id)
        shard.tried.add(route.upstream_id)
        query.extra_subqueries += shard.sent_count > 0
        shard.sent_count += 1
        shard.sent_ms, shard.is_overdue, shard.parked_until_ms = now_ms, False, None
        return [step]

    def open_queries_at(self, upstream_id: str) -> Iterator[OpenQuery]:
        """Return the queries with an open call to an upstream; scans all open calls."""
        return (
            call.query for call in self._calls.values() if call.route.upstream_id == upstream_id
        )

    def has_suspects(self) -> bool:
        """Return whether any upstream is suspected and may need a probe."""
        return bool(self._router.suspected_upstreams())

    def probe_suspect(
        self, query: OpenQuery, shard: ShardState, now_ms: float
    ) -> list[SendSubquery]:
        """Send the subquery also to a suspected replica, to check whether it has recovered."""
        route = self._router.choose_probe(shard.plan.replicas, shard.tried, now_ms)
        if route is None:
            return []
        step = self._send(query, shard, route, now_ms, is_probe=True)
        query.probe_ids.append(step.subquery.call_id)
        query.extra_subqueries += 1
        return [step]

    def finish(self, call_id: str, answer: UpstreamAnswer, now_ms: float) -> OpenCall | None:
        """Remove and return a call that ended; return None for a probe or a call not open."""
        call = self._calls.pop(call_id, None)
        if call is None:
            return None
        latency_ms = now_ms - call.sent_ms
        self._router.record_answer(call.route.upstream_id, answer, latency_ms, now_ms)
        if call.is_probe:
            call.query.probe_ids.remove(call_id)
            return None
        if isinstance(answer, Records):
            self._detector.record(call.query.plan.service, latency_ms, now_ms)
        call.shard.call_ids.remove(call_id)
        return call

    def find_calls_at_lost_owners(self, now_ms: float) -> list[str]:
        """Return the open calls through owners that are no longer reachable.

        This scans all open calls, so it is called once per heartbeat. Non-idempotent calls are
        left out: the owner may have run them, and their outcome becomes unknown only at their
        own deadline.
        """
        owners = {call.route.owner_id for call in self._calls.values()} - {None}
        lost = {name for name in owners if not self._router.is_reachable(name, now_ms)}
        if not lost:
            return []
        return [
            call_id
            for call_id, call in self._calls.items()
            if call.route.owner_id in lost and call.query.traffic_class.idempotent
        ]

    def is_open(self, call_id: str) -> bool:
        """Return whether a call is still open."""
        return call_id in self._calls

    def allow_retry(self, call_id: str) -> None:
        """Allow a call's upstream to be tried again, as its owner was at fault."""
        call = self._calls[call_id]
        call.shard.tried.discard(call.route.upstream_id)

    def record_overdue(self, shard: ShardState, now_ms: float) -> None:
        """Mark a shard as overdue and report its latest call to the router."""
        shard.is_overdue = True
        call = self._calls[shard.call_ids[-1]]
        self._router.record_overdue(call.route.upstream_id, now_ms)

    def cancel_shard(self, shard: ShardState, now_ms: float) -> list[CoordinationStep]:
        """Cancel the open calls for a shard."""
        steps: list[CoordinationStep] = []
        for call_id in shard.call_ids:
            call = self._calls[call_id]
            # Late calls that a hedge overtook are recorded too. Without them the quantile would
            # fall from window to window, and more and more subqueries would count as late.
            if shard.sent_count > 1 and call.sent_ms < shard.sent_ms:
                service = call.query.plan.service
                self._detector.record(service, now_ms - call.sent_ms, now_ms)
            steps.append(self._cancel(call_id, now_ms))
        shard.call_ids.clear()
        return steps

    def cancel_query(self, query: OpenQuery, now_ms: float) -> list[CoordinationStep]:
        """Cancel all open calls of a query, probes included."""
        steps = [step for shard in query.shards for step in self.cancel_shard(shard, now_ms)]
        steps += [self._cancel(call_id, now_ms) for call_id in query.probe_ids]
        query.probe_ids.clear()
        return steps

    def _cancel(self, call_id: str, now_ms: float) -> CancelSubquery:
        call = self._calls.pop(call_id)
        self._router.record_cancelled(call.route.upstream_id, now_ms - call.sent_ms, now_ms)
        return CancelSubquery(call_id, call.route)

    def _send(
        self,
        query: OpenQuery,
        shard: ShardState,
        route: SubqueryRoute,
        now_ms: float,
        is_probe: bool = False,
    ) -> SendSubquery:
        self._next_call += 1
        call_id = f"{self._prefix}{self._next_call}"
        self._calls[call_id] = OpenCall(query, shard, route, now_ms, is_probe)
        self._router.record_sent(route.upstream_id)
        query.subqueries += 1
        request = query.request
        subquery = Subquery(
            call_id=call_id,
            request_id=request.request_id,
            upstream_id=route.upstream_id,
            service=query.plan.service,
            index_version=query.plan.index_version,
            shard=shard.plan.shard,
            remaining_ms=request.deadline_ms - now_ms,
            query=request.query,
            idempotent=query.traffic_class.idempotent,
            customer=request.customer,
            class_name=request.class_name,
            priority=query.traffic_class.priority,
            fingerprint=query.fingerprint,
            attempt=shard.sent_count + 1,
        )
        return SendSubquery(subquery, route)
