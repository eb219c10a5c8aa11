from geraniumlead.admission.concurrency_limit import ConcurrencyLimit
from geraniumlead.admission.decaying_rate import DecayingRate
from geraniumlead.admission.hot_key_limiter import HotKeyLimiter
from geraniumlead.admission.service_queue import FLOOR_SHARE, ServiceQueue
from geraniumlead.admission.waiting_request import WaitingRequest
from geraniumlead.requests.reasons import RefusalReason

TOP_PRIORITY_FACTOR = 2.0
"""Factor by which requests of priority 0 may exceed the limit. Under overload the limit is always
used up, and they would wait for another request to end although the upstreams serve them first.
At three times the capacity their p99 is 35 ms without the factor, 27 to 29 ms with a factor of 2,
and 24 ms without load."""

MAX_WAIT_SHARE = 0.5
"""Longest estimated wait, as a part of the time until a request's latest start. The estimate may
be too low by a factor of two before queued requests have to be refused as too late."""

RATE_TIME_CONSTANT_MS = 500.0


class ServicePool:
    """The concurrency limit and the queue for one service's upstreams.

    Each service has its own upstreams and therefore its own limit, so that a saturated archive
    does not delay lookups. Long-running requests of a service have a separate pool. In a common
    one they would occupy the limit for seconds, and their latency would raise the mean and
    shrink the limit of the short requests.
    """

    __slots__ = ("_completion_rate", "_start_rates", "hot_keys", "in_service", "limit", "queue")

    def __init__(
        self, limit: ConcurrencyLimit | None = None, hot_keys: HotKeyLimiter | None = None
    ) -> None:
        self.limit = limit or ConcurrencyLimit()
        self.queue = ServiceQueue()
        self.hot_keys = hot_keys or HotKeyLimiter()
        self.in_service = 0.0
        self._completion_rate = DecayingRate(RATE_TIME_CONSTANT_MS)
        self._start_rates: dict[int, DecayingRate] = {}

    def may_start(self, priority: int) -> bool:
        """Return whether a request of this priority fits within the limit now."""
        factor = TOP_PRIORITY_FACTOR if priority == 0 else 1.0
        return self.in_service < self.limit.value * factor

    def may_start_at_once(self, item: WaitingRequest) -> bool:
        """Return whether a new request may start without waiting."""
        if not self.may_start(item.priority):
            return False
        # A waiting request that may not start itself does not block a new one.
        return not self.queue.has_startable(item.priority, self.may_start)

    def start(self, item: WaitingRequest, now_ms: float) -> None:
        """Count a request as in service."""
        item.started_ms = now_ms
        self.in_service += item.cost
        self.limit.record_in_service(self.in_service)
        meter = self._start_rates.get(item.priority)
        if meter is None:
            meter = self._start_rates[item.priority] = DecayingRate(RATE_TIME_CONSTANT_MS)
        meter.add(item.cost, now_ms)

    def end(self, item: WaitingRequest, now_ms: float) -> None:
        """Remove a request from those in service."""
        self.in_service = max(0.0, self.in_service - item.cost)
        self._completion_rate.add(item.cost, now_ms)

    def estimate_drain_ms(self, cost: float, priority: int, now_ms: float) -> float:
        """Estimate the time in which the service serves ``cost`` of a priority.

        Higher priorities are served first, at their recent rate. This priority gets the rest
        of the capacity, and at least ``FLOOR_SHARE`` of it.
        """
        capacity = self._capacity_per_s(now_ms)
        if capacity <= 0.0:
            return 0.0
        available_per_s = max(
            FLOOR_SHARE * capacity, capacity - self._higher_priority_per_s(priority, now_ms)
        )
        return 1000.0 * cost / available_per_s

    def estimate_wait_ms(self, item: WaitingRequest, now_ms: float) -> float:
        """Estimate how long a new request would wait.

        It waits for the requests ahead of it, but no longer than ``FLOOR_SHARE`` of the capacity
        needs for those of its own priority.
        """
        own, higher = self.queue.cost_ahead(item)
        capacity = self._capacity_per_s(now_ms)
        if capacity <= 0.0:
            return 0.0
        floor_ms = 1000.0 * own / (FLOOR_SHARE * capacity)
        available_per_s = capacity - self._higher_priority_per_s(item.priority, now_ms)
        if available_per_s <= FLOOR_SHARE * capacity:
            return floor_ms
        return min(floor_ms, 1000.0 * (own + higher) / available_per_s)

    def find_refusal_reason(self, item: WaitingRequest, now_ms: float) -> RefusalReason | None:
        """Return the reason why a new request may not wait, or None if it may."""
        if self.estimate_wait_ms(item, now_ms) > MAX_WAIT_SHARE * (item.latest_start_ms - now_ms):
            return RefusalReason.CANNOT_END_IN_TIME
        return None

    def _capacity_per_s(self, now_ms: float) -> float:
        # After an idle period the recent rate is too low, so the estimate of the limit counts too.
        return max(self._completion_rate.per_s(now_ms), self.limit.capacity_per_s())

    def _higher_priority_per_s(self, priority: int, now_ms: float) -> float:
        return sum(
            meter.per_s(now_ms) for level, meter in self._start_rates.items() if level < priority
        )
