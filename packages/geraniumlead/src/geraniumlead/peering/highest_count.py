COUNT_WINDOW_MS = 20_000.0
"""Time for which the highest count of instances is kept: two windows of the fleet's limits.

Failure: a network partition. Each side sees fewer instances, and if it divided the limits by
the number that it sees, both sides together would exceed them.
"""


class HighestCount:
    """The highest count of instances over a sliding window of COUNT_WINDOW_MS.

    A count is kept as long as it may become the highest of the window.
    """

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: list[tuple[float, int]] = []

    @property
    def latest(self) -> int:
        """Return the count that was recorded last; 1 before any."""
        return self._counts[-1][1] if self._counts else 1

    def record(self, count: int, now_ms: float) -> int:
        """Record a count; return the highest one of the window."""
        while self._counts and (
            self._counts[0][0] < now_ms - COUNT_WINDOW_MS or self._counts[0][1] <= count
        ):
            self._counts.pop(0)
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now_ms, count))
        return max(count for _, count in self._counts)
