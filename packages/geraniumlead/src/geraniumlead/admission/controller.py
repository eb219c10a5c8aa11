"""Decide for each request whether it starts, waits or is refused."""

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
from geraniumlead.peers.messages import ContractDemand
from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.coverage import Coverage
from geraniumlead.requests.outcomes import Answered, Failed, NotRun, Outcome
from geraniumlead.requests.reasons import RefusalReason
from geraniumlead.settings.limits import LimitSettings

UNKNOWN_RETRY_MS = 2_500.0
"""A contract that was just published reaches every instance within seconds."""

EXPIRED_RETRY_MS = 30_000.0
"""An expired contract comes back only when an operator renews it."""

OWN_QUEUE_FACTOR = 1.0
"""One contract may hold as many places of the queue as are still free, so alone it gets
half of them, and another contract always finds room (Choudhury and Hahne, 1998)."""


class AdmissionController:
    """Admit, queue and refuse the requests of this instance.

    A request first has to be within its contract (dates, rate, open requests), of which
    this instance enforces a share. Then it needs a place of its service's limit, for which
    it may wait as long as it can still end in time.
    """

    __slots__ = (
        "_gates",
        "_item_of",
        "_limits",
        "_pool_factory",
        "_pools",
        "_queued",
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
        self._item_of: dict[str, tuple[WaitingRequest, ServicePool]] = {}
        self._shard_counts: dict[str, int] = {}
        self._queued = 0

    @property
    def queued_requests(self) -> int:
        """Return the number of requests that wait for a place."""
        return self._queued

    def update(self, view: ClusterView) -> None:
        """Take over the contracts in force and the list of instances."""
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
        """Take in a reading of the wall clock, for the contracts' dates."""
        self._wall_clock.observe(wall_now_s, now_ms)

    def hear(self, sender_id: str, demand: Iterable[ContractDemand], now_ms: float) -> None:
        """Take in a peer's report of its demand."""
        self._shares.hear(sender_id, demand, now_ms)

    def report(self, now_ms: float) -> dict[str, tuple[ContractDemand, ...]]:
        """Return the demand report for every peer that gets its own, and for ``EVERY_PEER``."""
        return self._shares.report(self._count_open, now_ms)

    def offer(self, request: CallerRequest, now_ms: float) -> AdmissionDecision:
        """Admit, queue or refuse a request."""
        gate = self._gate_for(request.customer, now_ms)
        traffic_class = None if gate is None else gate.classes.get(request.class_name)
        if gate is None or traffic_class is None:
            return self._refuse(request, RefusalReason.CONTRACT_UNKNOWN, UNKNOWN_RETRY_MS)
        refused = self._check_contract(gate, request, now_ms)
        if refused is not None:
            return refused
        decision = self._place(gate, traffic_class, request, now_ms)
        if isinstance(decision, Refused):
            gate.give_token_back()
        else:
            gate.open_requests += 1
            self._shares.note_admitted(request.customer, now_ms)
        return decision

    def release(self, request_id: str, now_ms: float, outcome: Outcome | None = None) -> None:
        """Give back the place of a request that has its outcome, or that its caller left.

        An outcome tells the limit how the upstreams bore it; None tells nothing, and neither
        does a failure without any answer: it may have ended at once, or waited for a crash.
        """
        held = self._forget(request_id)
        if held is None:
            return
        item, pool = held
        if not item.is_gone:
            pool.queue.remove(item)
            self._queued -= 1
            return
        pool.end(item, now_ms)
        match outcome:
            case Answered():
                pool.limit.observe(item.kind, item.started_ms, now_ms)
            case Failed(coverage=Coverage() as coverage) if coverage.answered_shards > 0:
                pool.limit.observe(item.kind, item.started_ms, now_ms)
            case NotRun(reason=RefusalReason.UPSTREAM_SHED):
                pool.limit.note_shed()

    def take_ready(self, now_ms: float) -> list[Admitted | Refused]:
        """Return queued requests that may start now or must be given up now."""
        if not self._queued:
            return []
        ready: list[Admitted | Refused] = []
        for pool in self._pools.values():
            ready += self._give_up_hopeless(pool, now_ms)
            while pool.queue.length:
                item = pool.queue.pop(pool.may_start)
                if item is None:
                    break
                self._queued -= 1
                pool.start(item, now_ms)
                ready.append(Admitted(item.request))
        return ready

    def next_wake_ms(self) -> float | None:
        """Return when ``take_ready`` has to be called again at the latest."""
        if not self._queued:
            return None
        times = [pool.queue.next_hopeless_ms() for pool in self._pools.values()]
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
        self._shares.note_offered(request.customer, now_ms)
        share = self._shares.share_of(request.customer, now_ms)
        if not gate.has_place(share):
            pace_ms = 1000.0 / max(1.0, gate.contract.rate_per_s * share)
            return self._refuse(request, RefusalReason.CONCURRENCY, pace_ms)
        if not gate.take_token(share, now_ms):
            # The callers of one second come back over as many seconds as their contract
            # needs for them.
            offered_per_s = self._shares.offered_per_s(request.customer, now_ms)
            allowed_per_s = max(0.01, gate.contract.rate_per_s * share)
            return self._refuse(request, RefusalReason.RATE, 1000.0 * offered_per_s / allowed_per_s)
        return None

    def _place(
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
        if not pool.hot_keys.may_enter(request.customer, request.key, pool.limit.value):
            drain_ms = pool.drain_ms(pool.limit.value, item.priority, now_ms)
            return self._refuse(request, RefusalReason.HOT_KEY, drain_ms)
        if len(self._item_of) >= self._limits.open_requests:
            drain_ms = pool.drain_ms(pool.in_service, item.priority, now_ms)
            return self._refuse(request, RefusalReason.QUEUE_FULL, drain_ms)
        if pool.may_start_at_once(item):
            item.is_gone = True
            self._hold(item, pool)
            pool.queue.note_passed(item.priority)
            pool.start(item, now_ms)
            return Admitted(request)
        return self._queue(pool, item, now_ms)

    def _queue(self, pool: ServicePool, item: WaitingRequest, now_ms: float) -> AdmissionDecision:
        request = item.request
        reason = pool.refuse(item, now_ms)
        if reason is None and not self._has_queue_room(pool, item):
            reason = RefusalReason.QUEUE_FULL
        if reason is not None:
            drain_ms = pool.wait_ms(item, now_ms)
            return self._refuse(request, reason, drain_ms)
        self._hold(item, pool)
        pool.queue.push(item)
        self._queued += 1
        return Queued(request)

    def _has_queue_room(self, pool: ServicePool, item: WaitingRequest) -> bool:
        free = self._limits.queued_requests - self._queued
        return pool.queue.queued_of(item.request.customer) < OWN_QUEUE_FACTOR * free

    def _give_up_hopeless(self, pool: ServicePool, now_ms: float) -> list[Refused]:
        given_up = []
        while (item := pool.queue.pop_hopeless(now_ms)) is not None:
            self._queued -= 1
            self._forget(item.request.request_id)
            drain_ms = pool.wait_ms(item, now_ms)
            given_up.append(self._refuse(item.request, RefusalReason.CANNOT_END_IN_TIME, drain_ms))
        return given_up

    def _hold(self, item: WaitingRequest, pool: ServicePool) -> None:
        request = item.request
        self._item_of[request.request_id] = (item, pool)
        pool.hot_keys.count(request.customer, request.key, 1)

    def _forget(self, request_id: str) -> tuple[WaitingRequest, ServicePool] | None:
        held = self._item_of.pop(request_id, None)
        if held is not None:
            item, pool = held
            pool.hot_keys.count(item.request.customer, item.request.key, -1)
            gate = self._gates.get(item.request.customer)
            if gate is not None:
                gate.open_requests -= 1
        return held

    def _refuse(self, request: CallerRequest, reason: RefusalReason, drain_ms: float) -> Refused:
        return Refused(request, reason, spread_retry_after(drain_ms, self._random))
