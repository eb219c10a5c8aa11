from dataclasses import dataclass, field
from heapq import heappop, heappush

NEVER_MS = float("inf")


@dataclass(frozen=True, slots=True)
class TimeInterval:
    """A half-open time interval, in milliseconds."""

    from_ms: float
    to_ms: float

    def contains(self, now_ms: float) -> bool:
        """Return whether a time lies in the interval."""
        return self.from_ms <= now_ms < self.to_ms


@dataclass(slots=True)
class UpstreamModel:
    """A modelled upstream that serves requests in the order of arrival, one per slot.

    It makes no progress during its pauses. A request that starts in one of the ``slow`` intervals
    takes ``slow_factor`` times as long, and one that arrives in one of the ``unresponsive``
    intervals is never answered. ``background`` holds the requests of other instances, as pairs
    of arrival time and service time.
    """

    upstream_id: str
    service: str
    data_centre: str
    slots: int
    pauses: list[TimeInterval] = field(default_factory=list)
    slow: list[TimeInterval] = field(default_factory=list)
    unresponsive: list[TimeInterval] = field(default_factory=list)
    slow_factor: float = 8.0
    background: list[tuple[float, float]] = field(default_factory=list)
    _free_ms: list[float] = field(default_factory=list)
    _next_background: int = 0

    def finish_ms(self, arrived_ms: float, work_ms: float) -> float:
        """Accept a request and return when it is done.

        Calls have to be in the order of arrival.
        """
        while self._next_background < len(self.background) and (
            self.background[self._next_background][0] <= arrived_ms
        ):
            self._run(*self.background[self._next_background])
            self._next_background += 1
        return self._run(arrived_ms, work_ms)

    def would_finish_ms(self, arrived_ms: float, work_ms: float) -> float:
        """Return when a request would be done, without accepting it."""
        saved = list(self._free_ms), self._next_background
        finished_ms = self.finish_ms(arrived_ms, work_ms)
        self._free_ms, self._next_background = saved
        return finished_ms

    def _run(self, arrived_ms: float, work_ms: float) -> float:
        if any(interval.contains(arrived_ms) for interval in self.unresponsive):
            return NEVER_MS
        free_ms = heappop(self._free_ms) if len(self._free_ms) >= self.slots else 0.0
        now_ms = max(arrived_ms, free_ms)
        is_slow = any(interval.contains(now_ms) for interval in self.slow)
        remaining_ms = work_ms * (self.slow_factor if is_slow else 1.0)
        for pause in self.pauses:
            if pause.to_ms <= now_ms:
                continue
            if now_ms + remaining_ms <= pause.from_ms:
                break
            remaining_ms -= max(0.0, pause.from_ms - now_ms)
            now_ms = pause.to_ms
        now_ms += remaining_ms
        heappush(self._free_ms, now_ms)
        return now_ms
