"""Admit the requests of one service within an adaptive limit."""

from geraniumlead.admission.concurrency_limit import ConcurrencyLimit
from geraniumlead.admission.decaying_rate import DecayingRate
from geraniumlead.admission.hot_keys import HotKeys
from geraniumlead.admission.service_queue import FLOOR_SHARE, ServiceQueue
from geraniumlead.admission.waiting_request import WaitingRequest
from geraniumlead.requests.reasons import RefusalReason

FIRST_CLASS_FACTOR = 2.0
"""Priority 0 may exceed the limit: under overload all places are always taken, and it would
wait for the next one to come free although it goes first at the upstreams. Trials at three
times the capacity: a p99 of 35 ms without, 27 to 29 ms with a factor of 2, 24 ms unloaded."""

MOST_WAIT_SHARE = 0.5
"""Part of a request's time that it is expected to wait at most: the estimate may be wrong by
a factor of two before requests that were let in have to be given up."""

RATE_TIME_CONSTANT_MS = 500.0


class ServicePool:
    """Hold the places and the queue in front of one service's upstreams.

    Each service has upstreams of its own, so each has its own limit: a full archive must
    not hold up lookups. Long-running requests of a service have a pool of their own:
    waiting for a place for seconds, they would hold the places of short ones, and their
    latency, in one mean with that of the short ones, would shrink the limit of all.
    """

    __slots__ = ("_drained", "_started", "hot_keys", "in_service", "limit", "queue")

    def __init__(
        self, limit: ConcurrencyLimit | None = None, hot_keys: HotKeys | None = None
    ) -> None:
        self.limit = limit or ConcurrencyLimit()
        self.queue = ServiceQueue()
        self.hot_keys = hot_keys or HotKeys()
        self.in_service = 0.0
        self._drained = DecayingRate(RATE_TIME_CONSTANT_MS)
        self._started: dict[int, DecayingRate] = {}

    def may_start(self, priority: int) -> bool:
        """Return whether a request of the priority fits within the limit now."""
        factor = FIRST_CLASS_FACTOR if priority == 0 else 1.0
        return self.in_service < self.limit.value * factor

    def may_start_at_once(self, item: WaitingRequest) -> bool:
        """Return whether a new request may start without standing in the queue."""
        if not self.may_start(item.priority):
            return False
        # A waiting request that may not start itself bars nobody.
        return not self.queue.has_waiting_up_to(item.priority, self.may_start)

    def start(self, item: WaitingRequest, now_ms: float) -> None:
        """Take a place."""
        item.started_ms = now_ms
        self.in_service += item.cost
        self.limit.note_in_service(self.in_service)
        meter = self._started.get(item.priority)
        if meter is None:
            meter = self._started[item.priority] = DecayingRate(RATE_TIME_CONSTANT_MS)
        meter.add(item.cost, now_ms)

    def end(self, item: WaitingRequest, now_ms: float) -> None:
        """Give back a place."""
        self.in_service = max(0.0, self.in_service - item.cost)
        self._drained.add(item.cost, now_ms)

    def drain_ms(self, cost: float, priority: int, now_ms: float) -> float:
        """Estimate the time in which the service serves ``cost`` of a priority.

        Higher priorities take their recent rate first; what they leave, and at least the
        floor, is for this one.
        """
        capacity = self._capacity_per_s(now_ms)
        if capacity <= 0.0:
            return 0.0
        left = max(FLOOR_SHARE * capacity, capacity - self._higher_per_s(priority, now_ms))
        return 1000.0 * cost / left

    def wait_ms(self, item: WaitingRequest, now_ms: float) -> float:
        """Estimate how long a new request would wait.

        It waits for what stands before it, but by the floor at most for its own class.
        """
        own, higher = self.queue.cost_before(item)
        capacity = self._capacity_per_s(now_ms)
        if capacity <= 0.0:
            return 0.0
        floor_ms = 1000.0 * own / (FLOOR_SHARE * capacity)
        left = capacity - self._higher_per_s(item.priority, now_ms)
        if left <= FLOOR_SHARE * capacity:
            return floor_ms
        return min(floor_ms, 1000.0 * (own + higher) / left)

    def refuse(self, item: WaitingRequest, now_ms: float) -> RefusalReason | None:
        """Return why a new request may not wait; None when it may."""
        if self.wait_ms(item, now_ms) > MOST_WAIT_SHARE * (item.latest_start_ms - now_ms):
            return RefusalReason.CANNOT_END_IN_TIME
        return None

    def _capacity_per_s(self, now_ms: float) -> float:
        # After a quiet time the recent rate says nothing, so the limit's counts too.
        return max(self._drained.per_s(now_ms), self.limit.capacity_per_s())

    def _higher_per_s(self, priority: int, now_ms: float) -> float:
        return sum(
            meter.per_s(now_ms) for level, meter in self._started.items() if level < priority
        )
