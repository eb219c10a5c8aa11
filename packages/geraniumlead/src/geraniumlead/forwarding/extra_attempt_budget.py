"""Bound the requests that are sent beyond the first of each."""

from collections import deque

SAFE_PART = 0.9
"""Part of the allowed share that is used: instances' windows do not begin at the same time,
and a request counts where it arrives, some milliseconds after it was sent."""

STEP_MS = 250.0
"""Resolution of the window; forty steps in ten seconds."""


class ExtraAttemptBudget:
    """Count first and extra requests of one service over a sliding window.

    Load pattern: an upstream turns slow or fails, and every request to it wants a second
    try. Without a bound the tries double the load of what is overloaded already. Each
    instance earns in proportion to its own first requests, so the sum over all instances
    keeps the bound whatever they know of each other; only the fixed slack is divided.
    """

    __slots__ = ("_extra", "_first", "_share", "_slack", "_steps", "_window_ms")

    def __init__(self, share: float, slack: float, window_ms: float) -> None:
        self._share = share
        self._slack = slack
        self._window_ms = window_ms
        self._steps: deque[list[float]] = deque()
        self._first = 0
        self._extra = 0

    def set_slack(self, slack: float) -> None:
        """Take over this instance's part of the fixed slack."""
        self._slack = slack

    def record_first(self, now_ms: float) -> None:
        """Count a request that is sent for the first time."""
        self._step(now_ms)[1] += 1
        self._first += 1

    def record_extra(self, now_ms: float) -> None:
        """Count a request that is sent once more."""
        self._step(now_ms)[2] += 1
        self._extra += 1

    def left(self, now_ms: float) -> float:
        """Return how many extra requests may be sent now."""
        self._forget(now_ms)
        return self._share * SAFE_PART * self._first + self._slack - self._extra

    def left_share(self, now_ms: float) -> float:
        """Return the part (0 to 1) of the window's allowance that is left."""
        left = self.left(now_ms)
        return 0.0 if left <= 0.0 else left / (left + self._extra)

    def _step(self, now_ms: float) -> list[float]:
        self._forget(now_ms)
        start_ms = now_ms - now_ms % STEP_MS
        if not self._steps or self._steps[-1][0] != start_ms:
            self._steps.append([start_ms, 0, 0])
        return self._steps[-1]

    def _forget(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._window_ms - STEP_MS
        while self._steps and self._steps[0][0] < oldest_ms:
            _, first, extra = self._steps.popleft()
            self._first -= first
            self._extra -= extra
