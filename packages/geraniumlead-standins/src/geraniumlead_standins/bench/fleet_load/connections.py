"""Model the connections of one instance to upstreams."""

IDLE_MS = 20_000.0


class Connections:
    """Count connections that were opened, and keep the idle ones until they are too old."""

    __slots__ = ("_idle", "_new", "opened")

    def __init__(self) -> None:
        self._idle: dict[str, list[float]] = {}
        self._new: set[int] = set()
        self.opened = 0

    def take(self, attempt_id: int, upstream_id: str, now_ms: float) -> bool:
        """Take a connection for an attempt; return whether it was open already."""
        idle = self._idle.get(upstream_id)
        while idle:
            if now_ms - idle.pop() < IDLE_MS:
                return True
        self.opened += 1
        self._new.add(attempt_id)
        return False

    def is_new(self, attempt_id: int) -> bool:
        """Return whether an attempt had to open its connection."""
        return attempt_id in self._new

    def give_back(self, upstream_id: str, now_ms: float) -> None:
        """Keep a connection whose answer is whole; one that was cancelled is closed instead."""
        self._idle.setdefault(upstream_id, []).append(now_ms)
