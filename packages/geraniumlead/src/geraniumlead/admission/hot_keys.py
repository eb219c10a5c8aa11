"""Bound what one key may take of a service."""

OPEN_SHARE = 0.25
LEAST_OPEN = 3
"""A limit of L requests to all shards is L subqueries on each shard, of which TOLERANCE
times too many wait. One key's requests all go to one shard, so a quarter of L leaves more
than half of the shard to everybody else; three let a key be asked for by a few at once."""


class HotKeys:
    """Count the open requests of each key of each contract; keys without any are forgotten.

    Load pattern: one member's page is asked for thousands of times. All of it goes to one
    shard; without a bound that shard's queue grows, and every request to all shards waits
    for it. To let the surplus wait was weighed: it holds places in the queue for requests
    that one shard cannot serve in time. It is refused at once.
    """

    __slots__ = ("_open",)

    def __init__(self) -> None:
        self._open: dict[tuple[str, str], int] = {}

    def may_enter(self, customer: str, key: str | None, limit: float) -> bool:
        """Return whether one more request of the key may start or wait."""
        if key is None:
            return True
        return self._open.get((customer, key), 0) < max(LEAST_OPEN, int(limit * OPEN_SHARE))

    def count(self, customer: str, key: str | None, change: int) -> None:
        """Count a request that comes in (1) or leaves (-1)."""
        if key is None:
            return
        left = self._open.get((customer, key), 0) + change
        if left > 0:
            self._open[customer, key] = left
        else:
            self._open.pop((customer, key), None)
