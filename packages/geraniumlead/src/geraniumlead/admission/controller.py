from collections.abc import Callable, Iterable
from random import Random

from geraniumlead.admission.contract_gate import ContractGate
from geraniumlead.admission.decisions import AdmissionDecision, Admitted, Queued, Refused
from geraniumlead.admission.fleet_shares import FleetShares
from geraniumlead.admission.retry_after import spread_retry_after
from geraniumlead.admission.service_pool import ServicePool
from geraniumlead.admission.waiting_request import WaitingRequest, kind_of
from geraniumlead.admission.wall_clock import WallClock
from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.documents.traffic_class import TrafficClass
from geraniumlead.peer_messages.messages import ContractDemand
from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.coverage import Coverage
from geraniumlead.requests.outcomes import Answered, Failed, NotRun, Outcome
from geraniumlead.requests.reasons import RefusalReason
from geraniumlead.settings.limits import LimitSettings

UNKNOWN_RETRY_MS = 2_500.0
"""A newly published contract reaches every instance within seconds."""

EXPIRED_RETRY_MS = 30_000.0
"""An expired contract becomes valid again only when an operator renews it."""

CONTRACT_QUEUE_FACTOR = 1.0
"""A contract may hold as many queue entries as are still free, so a single contract gets half of
the queue and another one always finds free entries (Choudhury and Hahne, 1998)."""


class AdmissionController:
    """Admits, queues or refuses the requests of this instance.

    A request first has to be within its contract (dates, rate, open requests), of which
    this instance enforces a share. Then it has to fit within the concurrency limit of its
    service. It may wait for that as long as it can still end before its deadline.
    """

    __slots__ = (
        "_gates",
        "_limits",
        "_open_requests",
        "_pool_factory",
        "_pools",
        "_queued_count",
        "_random",
        "_shard_counts",
        "_shares",
        "_view",
        "_wall_clock",
    )

    def __init__(
        self,
        limits: LimitSettings,
        instance_id: str,
        random: Random,
        pool_factory: Callable[[], ServicePool] = ServicePool,
    ) -> None:
        self._limits = limits
        self._pool_factory = pool_factory
        self._random = random
        self._view = ClusterView()
        self._shares = FleetShares(instance_id)
        self._wall_clock = WallClock()
        self._gates: dict[str, ContractGate] = {}
        self._pools: dict[tuple[str, bool], ServicePool] = {}
        self._open_requests: dict[str, tuple[WaitingRequest, ServicePool]] = {}
        self._shard_counts: dict[str, int] = {}
        self._queued_count = 0

    @property
    def queued_requests(self) -> int:
        """Return the number of requests that wait in a queue."""
        return self._queued_count

    def update(self, view: ClusterView) -> None:
        """Apply the contracts, the list of instances and the indexes of a view."""
        self._view = view
        live_ids = (
            entry.instance_id
            for entries in view.instances.values()
            for entry in entries
            if entry.state == "live"
        )
        rates_per_s = {name: found.rate_per_s for name, found in view.contracts.items()}
        self._shares.update(rates_per_s, live_ids)
        self._shard_counts = {
            service: max(1, len(versions[0].shards)) for service, versions in view.indexes.items()
        }
        for customer, gate in list(self._gates.items()):
            contract = view.contracts.get(customer)
            if contract is not None:
                gate.replace(contract)
            elif not gate.open_requests:
                del self._gates[customer]

    def observe_wall_clock(self, wall_now_s: float, now_ms: float) -> None:
        """Record a reading of the wall clock, which the validity of contracts depends on."""
        self._wall_clock.observe(wall_now_s, now_ms)

    def handle_demand(
        self, sender_id: str, demand: Iterable[ContractDemand], now_ms: float
    ) -> None:
        """Handle a peer's demand report."""
        self._shares.handle_demand(sender_id, demand, now_ms)

    def build_demand_reports(self, now_ms: float) -> dict[str, tuple[ContractDemand, ...]]:
        """Return a demand report for each borrowing peer, and the one for ``EVERY_PEER``."""
        return self._shares.build_demand_reports(self._count_open, now_ms)

    def offer(self, request: CallerRequest, now_ms: float) -> AdmissionDecision:
        """Admit, queue or refuse a request."""
        gate = self._gate_for(request.customer, now_ms)
        traffic_class = None if gate is None else gate.classes.get(request.class_name)
        if gate is None or traffic_class is None:
            return self._refuse(request, RefusalReason.CONTRACT_UNKNOWN, UNKNOWN_RETRY_MS)
        refused = self._check_contract(gate, request, now_ms)
        if refused is not None:
            return refused
        decision = self._start_or_queue(gate, traffic_class, request, now_ms)
        if isinstance(decision, Refused):
            gate.return_token()
        else:
            gate.open_requests += 1
            self._shares.record_admitted(request.customer, now_ms)
        return decision

    def release(self, request_id: str, now_ms: float, outcome: Outcome | None = None) -> None:
        """Remove a request that has ended or whose caller has disconnected.

        The latency of an answered request adapts the concurrency limit. Without an outcome
        nothing is observed, and neither is a failure without any answered shard: it may have
        ended immediately, or waited until an upstream crashed.
        """
        removed = self._remove_request(request_id)
        if removed is None:
            return
        item, pool = removed
        if not item.is_removed:
            pool.queue.remove(item)
            self._queued_count -= 1
            return
        pool.end(item, now_ms)
        match outcome:
            case Answered():
                pool.limit.observe(item.kind, item.started_ms, now_ms)
            case Failed(coverage=Coverage() as coverage) if coverage.answered_shards > 0:
                pool.limit.observe(item.kind, item.started_ms, now_ms)
            case NotRun(reason=RefusalReason.UPSTREAM_SHED):
                pool.limit.record_shed()

    def pop_ready(self, now_ms: float) -> list[Admitted | Refused]:
        """Return queued requests that start now, and those that are refused as too late."""
        if not self._queued_count:
            return []
        ready: list[Admitted | Refused] = []
        for pool in self._pools.values():
            ready += self._refuse_expired(pool, now_ms)
            while pool.queue.length:
                item = pool.queue.pop(pool.may_start)
                if item is None:
                    break
                self._queued_count -= 1
                pool.start(item, now_ms)
                ready.append(Admitted(item.request))
        return ready

    def next_wake_ms(self) -> float | None:
        """Return the latest time at which ``pop_ready`` has to be called again."""
        if not self._queued_count:
            return None
        times = [pool.queue.next_expiry_ms() for pool in self._pools.values()]
        return min((time for time in times if time is not None), default=None)

    def _count_open(self, customer: str) -> int:
        gate = self._gates.get(customer)
        return 0 if gate is None else gate.open_requests

    def _gate_for(self, customer: str, now_ms: float) -> ContractGate | None:
        gate = self._gates.get(customer)
        contract = self._view.contracts.get(customer)
        if contract is None:
            return None
        if gate is None:
            share = self._shares.share_of(customer, now_ms)
            gate = self._gates[customer] = ContractGate(contract, share, now_ms)
        return gate

    def _check_contract(
        self, gate: ContractGate, request: CallerRequest, now_ms: float
    ) -> Refused | None:
        wall_now_s = self._wall_clock.now_s(now_ms)
        if not gate.validity.is_valid(wall_now_s):
            starts_in_s = gate.validity.starts_in_s(wall_now_s)
            retry_ms = EXPIRED_RETRY_MS if starts_in_s is None else starts_in_s * 1000.0
            return self._refuse(request, RefusalReason.CONTRACT_EXPIRED, retry_ms)
        self._shares.record_offered(request.customer, now_ms)
        share = self._shares.share_of(request.customer, now_ms)
        if not gate.has_capacity(share):
            token_interval_ms = 1000.0 / max(1.0, gate.contract.rate_per_s * share)
            return self._refuse(request, RefusalReason.CONCURRENCY, token_interval_ms)
        if not gate.take_token(share, now_ms):
            # Spread the requests of one second over the time that the contract's rate needs
            # to admit them.
            offered_per_s = self._shares.offered_per_s(request.customer, now_ms)
            allowed_per_s = max(0.01, gate.contract.rate_per_s * share)
            return self._refuse(request, RefusalReason.RATE, 1000.0 * offered_per_s / allowed_per_s)
        return None

    def _start_or_queue(
        self,
        gate: ContractGate,
        traffic_class: TrafficClass,
        request: CallerRequest,
        now_ms: float,
    ) -> AdmissionDecision:
        name = (traffic_class.service, traffic_class.long_running)
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = self._pool_factory()
        kind = kind_of(request)
        item = WaitingRequest.from_request(
            request,
            priority=traffic_class.priority,
            weight=gate.contract.weight,
            shards=self._shard_counts.get(traffic_class.service, 1),
            service_ms=pool.limit.baseline_ms(kind),
        )
        if not pool.hot_keys.may_open(request.customer, request.key, pool.limit.value):
            drain_ms = pool.estimate_drain_ms(pool.limit.value, item.priority, now_ms)
            return self._refuse(request, RefusalReason.HOT_KEY, drain_ms)
        if len(self._open_requests) >= self._limits.open_requests:
            drain_ms = pool.estimate_drain_ms(pool.in_service, item.priority, now_ms)
            return self._refuse(request, RefusalReason.QUEUE_FULL, drain_ms)
        if pool.may_start_at_once(item):
            item.is_removed = True
            self._add_request(item, pool)
            pool.queue.record_direct_start(item.priority)
            pool.start(item, now_ms)
            return Admitted(request)
        return self._queue(pool, item, now_ms)

    def _queue(self, pool: ServicePool, item: WaitingRequest, now_ms: float) -> AdmissionDecision:
        request = item.request
        reason = pool.find_refusal_reason(item, now_ms)
        if reason is None and not self._has_queue_capacity(pool, item):
            reason = RefusalReason.QUEUE_FULL
        if reason is not None:
            drain_ms = pool.estimate_wait_ms(item, now_ms)
            return self._refuse(request, reason, drain_ms)
        self._add_request(item, pool)
        pool.queue.push(item)
        self._queued_count += 1
        return Queued(request)

    def _has_queue_capacity(self, pool: ServicePool, item: WaitingRequest) -> bool:
        free = self._limits.queued_requests - self._queued_count
        return pool.queue.queued_of(item.request.customer) < CONTRACT_QUEUE_FACTOR * free

    def _refuse_expired(self, pool: ServicePool, now_ms: float) -> list[Refused]:
        refused = []
        while (item := pool.queue.pop_expired(now_ms)) is not None:
            self._queued_count -= 1
            self._remove_request(item.request.request_id)
            drain_ms = pool.estimate_wait_ms(item, now_ms)
            refused.append(self._refuse(item.request, RefusalReason.CANNOT_END_IN_TIME, drain_ms))
        return refused

    def _add_request(self, item: WaitingRequest, pool: ServicePool) -> None:
        request = item.request
        self._open_requests[request.request_id] = (item, pool)
        pool.hot_keys.adjust_open(request.customer, request.key, 1)

    def _remove_request(self, request_id: str) -> tuple[WaitingRequest, ServicePool] | None:
        removed = self._open_requests.pop(request_id, None)
        if removed is not None:
            item, pool = removed
            pool.hot_keys.adjust_open(item.request.customer, item.request.key, -1)
            gate = self._gates.get(item.request.customer)
            if gate is not None:
                gate.open_requests -= 1
        return removed

    def _refuse(self, request: CallerRequest, reason: RefusalReason, drain_ms: float) -> Refused:
        return Refused(request, reason, spread_retry_after(drain_ms, self._random))
