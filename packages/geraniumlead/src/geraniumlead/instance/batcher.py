"""Collect what goes to each peer until the batching tick."""

from geraniumlead.peers.messages import (
    CancelBatch,
    PeerMessage,
    SubqueryBatch,
    SubqueryResult,
    SubqueryResultBatch,
)
from geraniumlead.upstreams.subquery import Subquery

MOST_ITEMS = 512
"""Items after which a batch goes at once; keeps a message well under a megabyte."""


class PeerBatcher:
    """Put the subqueries, results and cancellations for one peer into one message each.

    A message costs tens of microseconds, an item in it less than one, so a query to many
    shards is only affordable in batches.
    """

    __slots__ = ("_cancels", "_due_ms", "_results", "_subqueries", "_tick_ms")

    def __init__(self, tick_ms: float) -> None:
        self._tick_ms = tick_ms
        self._due_ms: float | None = None
        self._subqueries: dict[str, list[Subquery]] = {}
        self._results: dict[str, list[SubqueryResult]] = {}
        self._cancels: dict[str, list[str]] = {}

    def add_subquery(self, peer_id: str, subquery: Subquery, now_ms: float) -> None:
        """Collect a subquery for its owner."""
        self._subqueries.setdefault(peer_id, []).append(subquery)
        self._arm(len(self._subqueries[peer_id]), now_ms)

    def add_result(self, peer_id: str, result: SubqueryResult, now_ms: float) -> None:
        """Collect an outcome for its coordinator."""
        self._results.setdefault(peer_id, []).append(result)
        self._arm(len(self._results[peer_id]), now_ms)

    def add_cancel(self, peer_id: str, call_id: str, now_ms: float) -> None:
        """Collect a cancellation for an owner."""
        self._cancels.setdefault(peer_id, []).append(call_id)
        self._arm(len(self._cancels[peer_id]), now_ms)

    def take_subqueries(self) -> list[tuple[str, Subquery]]:
        """Take back the subqueries that were not sent yet, by peer."""
        unsent = [(peer, item) for peer, items in self._subqueries.items() for item in items]
        self._subqueries.clear()
        return unsent

    def take_due(self, now_ms: float) -> list[tuple[str, PeerMessage]]:
        """Return the messages whose tick has come, by peer."""
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
        """Return when the tick comes, or None when nothing was collected."""
        return self._due_ms

    def _arm(self, collected: int, now_ms: float) -> None:
        if collected >= MOST_ITEMS:
            self._due_ms = now_ms
        elif self._due_ms is None:
            self._due_ms = now_ms + self._tick_ms
