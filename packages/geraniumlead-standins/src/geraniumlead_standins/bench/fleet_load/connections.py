IDLE_MS = 20_000.0


class Connections:
    """The connections of one instance to upstreams, with a count of those that were opened.

    Idle connections are reused until they have been idle for too long.
    """

    __slots__ = ("_idle", "_new", "opened")

    def __init__(self) -> None:
        self._idle: dict[str, list[float]] = {}
        self._new: set[int] = set()
        self.opened = 0

    def acquire(self, attempt_id: int, upstream_id: str, now_ms: float) -> bool:
        """Acquire a connection for an attempt; return whether it was already open."""
        idle = self._idle.get(upstream_id)
        while idle:
            if now_ms - idle.pop() < IDLE_MS:
                return True
        self.opened += 1
        self._new.add(attempt_id)
        return False

    def is_new(self, attempt_id: int) -> bool:
        """Return whether an attempt opened a new connection."""
        return attempt_id in self._new

    def release(self, upstream_id: str, now_ms: float) -> None:
        """Keep a connection as idle after a complete answer.

        The connection of a cancelled attempt is closed and must not be released.
        """
        self._idle.setdefault(upstream_id, []).append(now_ms)
