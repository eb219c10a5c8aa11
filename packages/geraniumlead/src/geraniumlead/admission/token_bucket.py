class TokenBucket:
    """A token bucket that limits the rate of one contract on one instance.

    The bucket starts full. Rate and size may change at any time. Tokens above a reduced size
    are dropped, so that a share that was lent can't be spent twice.
    """

    __slots__ = ("_refilled_ms", "_tokens")

    def __init__(self, size: float, now_ms: float) -> None:
        self._tokens = size
        self._refilled_ms = now_ms

    def take(self, rate_per_s: float, size: float, now_ms: float) -> bool:
        """Take one token. Return False if there is none."""
        elapsed_ms = max(0.0, now_ms - self._refilled_ms)
        self._refilled_ms = max(now_ms, self._refilled_ms)
        self._tokens = min(size, self._tokens + rate_per_s * elapsed_ms / 1000.0)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def return_token(self) -> None:
        """Give back the token of a request that was refused for another reason."""
        self._tokens += 1.0
