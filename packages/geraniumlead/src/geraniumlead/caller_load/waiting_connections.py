from collections.abc import Hashable
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)

MIN_WAIT_MS = 200.0
"""Time that a new connection has for its first request while others wait for its place."""


class WaitingConnections(Generic[Connection]):
    """The connections on which no request is being answered, and whose place goes to another.

    Load pattern: thousands of callers connect, send a request, a byte now and then or nothing, and
    stay. Above the number of connections that an instance takes, whoever comes next would be
    refused, an ordinary caller as well. In their place a connection is closed: first the one that
    has had no whole request since it was opened, if that is some time ago, then the one that has
    been idle for the longest time. Those on which a second request was answered come last: whoever
    keeps a connection to use it again would lose the next request that it sends.
    """

    __slots__ = ("_answered", "_idle", "_kept", "_new_since_ms")

    def __init__(self) -> None:
        self._new_since_ms: dict[Connection, float] = {}
        self._answered: set[Connection] = set()
        self._idle: dict[Connection, None] = {}
        self._kept: dict[Connection, None] = {}

    def begin(self, connection: Connection, now_ms: float) -> None:
        """Record that a connection was opened."""
        self._new_since_ms[connection] = now_ms

    def begin_idle(self, connection: Connection) -> None:
        """Record that a request of a connection was answered."""
        self.end(connection)
        if connection in self._answered:
            self._kept[connection] = None
        else:
            self._answered.add(connection)
            self._idle[connection] = None

    def end(self, connection: Connection) -> None:
        """Record that a connection has a whole request."""
        self._new_since_ms.pop(connection, None)
        self._idle.pop(connection, None)
        self._kept.pop(connection, None)

    def forget(self, connection: Connection) -> None:
        """Record that a connection is closed."""
        self.end(connection)
        self._answered.discard(connection)

    def choose(self, now_ms: float) -> Connection | None:
        """Return the connection whose place goes to another; None if none may be closed."""
        for connection, since_ms in self._new_since_ms.items():
            if now_ms - since_ms >= MIN_WAIT_MS:
                return connection
            break
        return next(iter(self._idle or self._kept), None)
