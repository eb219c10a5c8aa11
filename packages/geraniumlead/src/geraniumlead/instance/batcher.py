from geraniumlead.peer_messages.messages import (
    CancelBatch,
    PeerMessage,
    SubqueryBatch,
    SubqueryResult,
    SubqueryResultBatch,
)
from geraniumlead.upstreams.subquery import Subquery

MAX_ITEMS = 512
"""Number of items at which a batch is sent immediately; keeps a message well under 1 MB."""


class PeerBatcher:
    """Collects subqueries, results and cancellations per peer until the next batching tick.

    Each peer gets one message of each kind per tick. A message costs tens of microseconds and
    an item in it less than one, so a query to many shards is affordable only in batches.
    """

    __slots__ = ("_cancels", "_due_ms", "_results", "_subqueries", "_tick_ms")

    def __init__(self, tick_ms: float) -> None:
        self._tick_ms = tick_ms
        self._due_ms: float | None = None
        self._subqueries: dict[str, list[Subquery]] = {}
        self._results: dict[str, list[SubqueryResult]] = {}
        self._cancels: dict[str, list[str]] = {}

    def add_subquery(self, peer_id: str, subquery: Subquery, now_ms: float) -> None:
        """Add a subquery for the owner of its upstream."""
        self._subqueries.setdefault(peer_id, []).append(subquery)
        self._schedule(len(self._subqueries[peer_id]), now_ms)

    def add_result(self, peer_id: str, result: SubqueryResult, now_ms: float) -> None:
        """Add a result for the coordinator of its subquery."""
        self._results.setdefault(peer_id, []).append(result)
        self._schedule(len(self._results[peer_id]), now_ms)

    def add_cancel(self, peer_id: str, call_id: str, now_ms: float) -> None:
        """Add a cancellation for the owner that runs the call."""
        self._cancels.setdefault(peer_id, []).append(call_id)
        self._schedule(len(self._cancels[peer_id]), now_ms)

    def drain_subqueries(self) -> list[tuple[str, Subquery]]:
        """Remove and return the unsent subqueries, each with its peer."""
        unsent = [(peer, item) for peer, items in self._subqueries.items() for item in items]
        self._subqueries.clear()
        return unsent

    def pop_due(self, now_ms: float) -> list[tuple[str, PeerMessage]]:
        """Remove and return the messages to send, each with its peer; empty before the tick."""
        if self._due_ms is None or now_ms < self._due_ms:
            return []
        self._due_ms = None
        due: list[tuple[str, PeerMessage]] = []
        due += [(peer, SubqueryBatch(tuple(items))) for peer, items in self._subqueries.items()]
        due += [(peer, SubqueryResultBatch(tuple(items))) for peer, items in self._results.items()]
        due += [(peer, CancelBatch(tuple(items))) for peer, items in self._cancels.items()]
        for collected in (self._subqueries, self._results, self._cancels):
            collected.clear()
        return due

    def next_wake_ms(self) -> float | None:
        """Return the time of the next tick, or None if there is nothing to send."""
        return self._due_ms

    def _schedule(self, collected: int, now_ms: float) -> None:
        if collected >= MAX_ITEMS:
            self._due_ms = now_ms
        elif self._due_ms is None:
            self._due_ms = now_ms + self._tick_ms
