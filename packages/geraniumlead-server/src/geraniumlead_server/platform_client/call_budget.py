CALLS_PER_S = 4.0
BURST_CALLS = 8.0


class CallBudget:
    """A token bucket that limits all calls of one instance to the platform.

    Load pattern: a platform that answers and then closes its watches at once would be read
    as fast as it answers. A watcher needs about one call a second; a limit of four bounds
    the load that such a fault causes.
    """

    __slots__ = ("_tokens", "_updated_s")

    def __init__(self, now_s: float) -> None:
        self._tokens = BURST_CALLS
        self._updated_s = now_s

    def reserve(self, now_s: float) -> float:
        """Take a token for one call and return the time to wait before the call."""
        refill = (now_s - self._updated_s) * CALLS_PER_S
        self._tokens = min(BURST_CALLS, self._tokens + refill) - 1.0
        self._updated_s = now_s
        return max(0.0, -self._tokens / CALLS_PER_S)
