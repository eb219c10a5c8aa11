"""Keep the highest count of instances of the last seconds."""

HOLD_COUNT_MS = 20_000.0
"""Time for which the highest count of instances is kept: two windows of the fleet's limits.

Failure: instances are cut off from each other. Each side sees fewer, and with limits divided
by what it sees both sides together would exceed them.
"""


class HighestCount:
    """Remember counts as long as they may be the highest of the last HOLD_COUNT_MS."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: list[tuple[float, int]] = []

    @property
    def latest(self) -> int:
        """Return the count that was noted last; 1 before any."""
        return self._counts[-1][1] if self._counts else 1

    def note(self, count: int, now_ms: float) -> int:
        """Add a count; return the highest one."""
        while self._counts and (
            self._counts[0][0] < now_ms - HOLD_COUNT_MS or self._counts[0][1] <= count
        ):
            self._counts.pop(0)
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now_ms, count))
        return max(count for _, count in self._counts)
