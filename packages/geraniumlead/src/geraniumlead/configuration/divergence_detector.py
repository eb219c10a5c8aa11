MIN_UNCHANGED_MS = 1_000.0
"""Time for which the own contents must be unchanged before all documents are requested.

An update in transit makes contents differ for a moment, and a request each time would transfer
the whole configuration.
"""

REQUEST_INTERVAL_MS = 2_000.0
"""Minimum time between two such requests of one instance."""


class DivergenceDetector:
    """Decides when equal revisions with different contents require a full exchange.

    Load pattern: the platform was restored from a backup and assigns revision numbers a second
    time, or an update was lost. By their revisions alone, the peers would count as equal
    forever.
    """

    __slots__ = ("_last_change_ms", "_last_request_ms", "_own_digest")

    def __init__(self) -> None:
        self._own_digest = 0
        self._last_change_ms = float("-inf")
        self._last_request_ms = float("-inf")

    def should_request_all(self, own_digest: int, peer_digest: int, now_ms: float) -> bool:
        """Return whether to request all documents of a peer at the same revision."""
        if own_digest != self._own_digest:
            self._own_digest, self._last_change_ms = own_digest, now_ms
        if own_digest == peer_digest or now_ms - self._last_change_ms < MIN_UNCHANGED_MS:
            return False
        if now_ms - self._last_request_ms < REQUEST_INTERVAL_MS:
            return False
        self._last_request_ms = now_ms
        return True
