from heapq import heappop, heappush

NEVER_MS = float("inf")


class WakeTimes:
    """A priority queue of wake-up times and their keys.

    Entries are never removed before they are due. If the time of a key changes, a new entry is
    added, and the caller of ``pop_due`` skips an entry that no longer matches the time of its key.
    """

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []

    def add(self, due_ms: float, key: int) -> None:
        """Add a wake-up time for a key."""
        heappush(self._heap, (due_ms, key))

    def pop_due(self, now_ms: float) -> tuple[float, int] | None:
        """Remove and return the earliest entry that is due, or None."""
        if self._heap and self._heap[0][0] <= now_ms:
            return heappop(self._heap)
        return None

    def next_ms(self) -> float:
        """Return the earliest wake-up time."""
        return self._heap[0][0] if self._heap else NEVER_MS
