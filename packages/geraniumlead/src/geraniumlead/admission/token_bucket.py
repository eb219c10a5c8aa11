"""Limit a rate and allow a bounded burst."""


class TokenBucket:
    """Hold the tokens of one contract on one instance.

    The bucket starts full. Rate and size may change at any time; tokens above a smaller
    size are lost, so that a share that shrinks cannot be spent twice.
    """

    __slots__ = ("_refilled_ms", "_tokens")

    def __init__(self, size: float, now_ms: float) -> None:
        self._tokens = size
        self._refilled_ms = now_ms

    def take(self, rate_per_s: float, size: float, now_ms: float) -> bool:
        """Take one token; False when there is none."""
        elapsed_ms = max(0.0, now_ms - self._refilled_ms)
        self._refilled_ms = max(now_ms, self._refilled_ms)
        self._tokens = min(size, self._tokens + rate_per_s * elapsed_ms / 1000.0)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return the token of a request that was refused for another reason."""
        self._tokens += 1.0
