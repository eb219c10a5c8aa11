from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from geraniumlead.admission.fair_queue import FairQueue
from geraniumlead.admission.waiting_request import WaitingRequest

FLOOR_SHARE = 0.05
"""Part of the capacity that is guaranteed to the lowest waiting priority."""

MAX_CREDIT = 1.0
MIN_STALE_ENTRIES = 64


class ServiceQueue:
    """The waiting requests of one service, in one fair queue for each priority.

    Load pattern: requests of priority 0 alone saturate the upstreams for minutes. With strict
    priorities the lowest class would get nothing and its callers would wait until their
    deadlines. With each request that is served, the lowest waiting class earns ``FLOOR_SHARE``
    of a request.
    """

    __slots__ = ("_by_arrival", "_by_latest_start", "_floor_credit", "_levels", "_serial", "length")

    def __init__(self) -> None:
        self._levels: dict[int, FairQueue] = {}
        self._by_latest_start: list[tuple[float, int, WaitingRequest]] = []
        self._by_arrival: dict[int, list[WaitingRequest]] = {}
        self._floor_credit = 0.0
        self._serial = count()
        self.length = 0

    def push(self, item: WaitingRequest) -> None:
        """Add a request."""
        key = item.priority
        level = self._levels.get(key)
        if level is None:
            level = self._levels[key] = FairQueue()
            self._levels = dict(sorted(self._levels.items()))
        level.push(item)
        heappush(self._by_latest_start, (item.latest_start_ms, next(self._serial), item))
        self._by_arrival.setdefault(key, []).append(item)
        self.length += 1

    def pop(self, may_start: Callable[[int], bool]) -> WaitingRequest | None:
        """Remove and return the next request of the priorities that may start."""
        waiting = [key for key, level in self._levels.items() if level.length and may_start(key)]
        if not waiting:
            return None
        chosen = waiting[0]
        if waiting[-1] > chosen:
            self._floor_credit = min(MAX_CREDIT, self._floor_credit + FLOOR_SHARE)
            if self._floor_credit >= MAX_CREDIT:
                self._floor_credit, chosen = 0.0, waiting[-1]
        item = self._levels[chosen].pop()
        if item is not None:
            item.is_removed = True
            self.length -= 1
        self._compact()
        return item

    def record_direct_start(self, priority: int) -> None:
        """Credit a waiting lower class for a request that started without waiting."""
        if self.length and any(
            level.length and key > priority for key, level in self._levels.items()
        ):
            self._floor_credit = min(MAX_CREDIT, self._floor_credit + FLOOR_SHARE)

    def remove(self, item: WaitingRequest) -> None:
        """Remove a request."""
        self._levels[item.priority].remove(item)
        self.length -= 1
        self._compact()

    def pop_expired(self, now_ms: float) -> WaitingRequest | None:
        """Remove and return a request whose latest start has passed."""
        while self._by_latest_start and self._by_latest_start[0][0] <= now_ms:
            _, _, item = heappop(self._by_latest_start)
            if not item.is_removed:
                self.remove(item)
                return item
        return None

    def pop_newest_below(self, priority: int) -> WaitingRequest | None:
        """Remove and return the newest request of the lowest class below ``priority``."""
        for key in reversed(self._levels):
            arrivals = self._by_arrival.get(key, [])
            while arrivals and arrivals[-1].is_removed:
                arrivals.pop()
            if key <= priority:
                return None
            if arrivals:
                item = arrivals.pop()
                self.remove(item)
                return item
        return None

    def next_expiry_ms(self) -> float | None:
        """Return when ``pop_expired`` next has a request to return."""
        while self._by_latest_start and self._by_latest_start[0][2].is_removed:
            heappop(self._by_latest_start)
        return self._by_latest_start[0][0] if self._by_latest_start else None

    def queued_of(self, customer: str) -> int:
        """Return the number of one contract's waiting requests."""
        return sum(level.queued_of(customer)[0] for level in self._levels.values())

    def has_startable(self, priority: int, may_start: Callable[[int], bool]) -> bool:
        """Return whether a request of this or a higher priority waits and may start."""
        if not self.length:
            return False
        return any(
            level.length and key <= priority and may_start(key)
            for key, level in self._levels.items()
        )

    def cost_ahead(self, item: WaitingRequest) -> tuple[float, float]:
        """Estimate the cost ahead of a new request in its own priority, and in all higher ones."""
        higher = sum(level.cost for key, level in self._levels.items() if key < item.priority)
        level = self._levels.get(item.priority)
        return (0.0 if level is None else level.cost_ahead(item)), higher

    def _compact(self) -> None:
        # Removed requests leave stale entries, which are dropped when they outnumber the waiting.
        if len(self._by_latest_start) > 2 * self.length + MIN_STALE_ENTRIES:
            kept = [entry for entry in self._by_latest_start if not entry[2].is_removed]
            kept.sort(key=lambda entry: entry[:2])
            self._by_latest_start = kept
            for key, arrivals in self._by_arrival.items():
                self._by_arrival[key] = [item for item in arrivals if not item.is_removed]
