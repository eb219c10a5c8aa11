"""Notice peers that hold other contents at the same revision."""

STEADY_MS = 1_000.0
"""Time for which the own contents must not have changed before all documents are asked for:
an update on its way makes contents differ for a moment, and to ask each time would move the
whole configuration."""

ASK_INTERVAL_MS = 2_000.0
"""Least time between two such questions of one instance."""


class DivergenceWatch:
    """Decide when equal revisions with unequal contents call for a full exchange.

    Load pattern: the platform was restored from a backup and gives out revision numbers a
    second time, or an update was lost. Revisions alone would call the peers equal for good.
    """

    __slots__ = ("_asked_ms", "_changed_ms", "_own_digest")

    def __init__(self) -> None:
        self._own_digest = 0
        self._changed_ms = float("-inf")
        self._asked_ms = float("-inf")

    def must_ask(self, own_digest: int, peer_digest: int, now_ms: float) -> bool:
        """Return whether to ask a peer at the same revision for all its documents."""
        if own_digest != self._own_digest:
            self._own_digest, self._changed_ms = own_digest, now_ms
        if own_digest == peer_digest or now_ms - self._changed_ms < STEADY_MS:
            return False
        if now_ms - self._asked_ms < ASK_INTERVAL_MS:
            return False
        self._asked_ms = now_ms
        return True
