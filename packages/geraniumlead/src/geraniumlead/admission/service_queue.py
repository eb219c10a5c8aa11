"""Order the waiting requests of one service."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from geraniumlead.admission.fair_queue import FairQueue
from geraniumlead.admission.waiting_request import WaitingRequest

FLOOR_SHARE = 0.05
"""Part of the service that goes to the lowest waiting priority, come what may."""

MOST_CREDIT = 1.0
CANCELLED_BEFORE_SWEEP = 64


class ServiceQueue:
    """Hold one fair queue for each priority.

    Load pattern: first-class load alone fills the upstreams for minutes. With strict
    priority the lowest class would get nothing and its callers would wait until their
    deadlines. For each request served the lowest waiting class earns ``FLOOR_SHARE`` of a
    turn.
    """

    __slots__ = ("_by_latest_start", "_credit", "_levels", "_recent", "_serial", "length")

    def __init__(self) -> None:
        self._levels: dict[int, FairQueue] = {}
        self._by_latest_start: list[tuple[float, int, WaitingRequest]] = []
        self._recent: dict[int, list[WaitingRequest]] = {}
        self._credit = 0.0
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
        self._recent.setdefault(key, []).append(item)
        self.length += 1

    def pop(self, may_start: Callable[[int], bool]) -> WaitingRequest | None:
        """Remove and return the request that is served next, of the levels that may start."""
        waiting = [key for key, level in self._levels.items() if level.length and may_start(key)]
        if not waiting:
            return None
        chosen = waiting[0]
        if waiting[-1] > chosen:
            self._credit = min(MOST_CREDIT, self._credit + FLOOR_SHARE)
            if self._credit >= MOST_CREDIT:
                self._credit, chosen = 0.0, waiting[-1]
        item = self._levels[chosen].pop()
        if item is not None:
            item.is_gone = True
            self.length -= 1
        self._sweep()
        return item

    def note_passed(self, priority: int) -> None:
        """Count a request that started without waiting, while a lower class waited."""
        if self.length and any(
            level.length and key > priority for key, level in self._levels.items()
        ):
            self._credit = min(MOST_CREDIT, self._credit + FLOOR_SHARE)

    def remove(self, item: WaitingRequest) -> None:
        """Take a request out of the queue."""
        self._levels[item.priority].remove(item)
        self.length -= 1
        self._sweep()

    def pop_hopeless(self, now_ms: float) -> WaitingRequest | None:
        """Remove and return a request that cannot end in time any more."""
        while self._by_latest_start and self._by_latest_start[0][0] <= now_ms:
            _, _, item = heappop(self._by_latest_start)
            if not item.is_gone:
                self.remove(item)
                return item
        return None

    def pop_newest_below(self, priority: int) -> WaitingRequest | None:
        """Remove and return the newest request of the lowest class below ``priority``."""
        for key in reversed(self._levels):
            recent = self._recent.get(key, [])
            while recent and recent[-1].is_gone:
                recent.pop()
            if key <= priority:
                return None
            if recent:
                item = recent.pop()
                self.remove(item)
                return item
        return None

    def next_hopeless_ms(self) -> float | None:
        """Return when ``pop_hopeless`` next has something to do."""
        while self._by_latest_start and self._by_latest_start[0][2].is_gone:
            heappop(self._by_latest_start)
        return self._by_latest_start[0][0] if self._by_latest_start else None

    def queued_of(self, customer: str) -> int:
        """Return the number of one contract's waiting requests."""
        return sum(level.queued_of(customer)[0] for level in self._levels.values())

    def has_waiting_up_to(self, priority: int, may_start: Callable[[int], bool]) -> bool:
        """Return whether a request of this or a higher priority waits and may start."""
        if not self.length:
            return False
        return any(
            level.length and key <= priority and may_start(key)
            for key, level in self._levels.items()
        )

    def cost_before(self, item: WaitingRequest) -> tuple[float, float]:
        """Estimate the cost of its own level, and of higher ones, before a new request."""
        higher = sum(level.cost for key, level in self._levels.items() if key < item.priority)
        level = self._levels.get(item.priority)
        return (0.0 if level is None else level.cost_before(item)), higher

    def _sweep(self) -> None:
        # Served requests leave entries behind; they go when they outnumber the waiting.
        if len(self._by_latest_start) > 2 * self.length + CANCELLED_BEFORE_SWEEP:
            kept = [entry for entry in self._by_latest_start if not entry[2].is_gone]
            kept.sort(key=lambda entry: entry[:2])
            self._by_latest_start = kept
            for key, recent in self._recent.items():
                self._recent[key] = [item for item in recent if not item.is_gone]
