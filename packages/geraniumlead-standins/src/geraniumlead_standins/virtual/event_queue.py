from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class EventQueue:
    """A queue that runs callbacks in the order of their virtual times.

    Callbacks with the same time run in the order in which they were added.
    """

    __slots__ = ("_heap", "_serial", "now_ms")

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = count()

    def add(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` for ``at_ms``; a time in the past means now."""
        heappush(self._heap, (max(at_ms, self.now_ms), next(self._serial), callback))

    def run_until(self, end_ms: float) -> None:
        """Run all callbacks that are due at or before ``end_ms``, and advance the time to it."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, callback = heappop(self._heap)
            callback()
        self.now_ms = max(self.now_ms, end_ms)
