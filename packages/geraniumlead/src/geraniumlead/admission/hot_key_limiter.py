MAX_OPEN_SHARE = 0.25
MIN_OPEN_REQUESTS = 3
"""A limit of L requests to all shards means L subqueries on each shard, ``TOLERANCE`` times as
many as it serves at once. All requests for one key go to one shard, so a quarter of L leaves more
than half of the shard to other requests. The minimum of three allows a few concurrent requests
for a key."""


class HotKeyLimiter:
    """Limits the open requests for each key of each contract; only keys with any are stored.

    Load pattern: one key is requested thousands of times. All of these requests go to one
    shard. Without a limit the queue of that shard grows, and every request to all shards waits
    for it. Requests above the limit are refused immediately. If they waited, they would occupy
    the queue although one shard can't serve them in time.
    """

    __slots__ = ("_open_counts",)

    def __init__(self) -> None:
        self._open_counts: dict[tuple[str, str], int] = {}

    def may_open(self, customer: str, key: str | None, limit: float) -> bool:
        """Return whether one more request for the key may start or wait."""
        if key is None:
            return True
        return self._open_counts.get((customer, key), 0) < max(
            MIN_OPEN_REQUESTS, int(limit * MAX_OPEN_SHARE)
        )

    def adjust_open(self, customer: str, key: str | None, change: int) -> None:
        """Add a request for the key (1) or remove one (-1)."""
        if key is None:
            return
        remaining = self._open_counts.get((customer, key), 0) + change
        if remaining > 0:
            self._open_counts[customer, key] = remaining
        else:
            self._open_counts.pop((customer, key), None)
