from collections import deque

from geraniumlead.forwarding.extra_attempt_allowance import ExtraAttemptAllowance

STEP_MS = 250.0
"""Resolution of the sliding window: forty steps in ten seconds."""


class ExtraAttemptBudget:
    """A budget of the extra attempts of one service over a sliding window.

    Load pattern: an upstream becomes slow or fails, and every request to it needs a second
    attempt. Unbounded second attempts would double the load of services that are already
    overloaded. The budget of each instance is proportional to its own first attempts, so the sum
    over all instances stays within the bound without any coordination. Only the fixed slack is
    divided among the instances.
    """

    __slots__ = ("_allowance", "_extra", "_first", "_service", "_steps")

    def __init__(self, service: str, allowance: ExtraAttemptAllowance) -> None:
        self._service = service
        self._allowance = allowance
        self._steps: deque[list[float]] = deque()
        self._first = 0
        self._extra = 0

    def record_first(self, now_ms: float) -> None:
        """Count a first attempt."""
        self._current_step(now_ms)[1] += 1
        self._first += 1

    def record_extra(self, now_ms: float) -> None:
        """Count an extra attempt."""
        self._current_step(now_ms)[2] += 1
        self._extra += 1

    def remaining(self, now_ms: float) -> float:
        """Return how many extra attempts may be sent now."""
        self._drop_old_steps(now_ms)
        return self._allowance.limit(self._service, self._first, now_ms) - self._extra

    def remaining_share(self, now_ms: float) -> float:
        """Return the unused part (0 to 1) of the window's budget."""
        remaining = self.remaining(now_ms)
        return 0.0 if remaining <= 0.0 else remaining / (remaining + self._extra)

    def _current_step(self, now_ms: float) -> list[float]:
        self._drop_old_steps(now_ms)
        start_ms = now_ms - now_ms % STEP_MS
        if not self._steps or self._steps[-1][0] != start_ms:
            self._steps.append([start_ms, 0, 0])
        return self._steps[-1]

    def _drop_old_steps(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._allowance.window_ms - STEP_MS
        while self._steps and self._steps[0][0] < oldest_ms:
            _, first, extra = self._steps.popleft()
            self._first -= first
            self._extra -= extra
