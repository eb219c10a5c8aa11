from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from geraniumlead.caller_load.arrival_queue import ArrivalQueue

Connection = TypeVar("Connection", bound=Hashable)

MAX_STARTS_PER_TURN = 4
"""Requests that are started in one turn of the event loop; each takes a millisecond or more."""

MAX_REFUSALS_PER_TURN = 3
MAX_EVICTIONS_PER_TURN = 1
"""Together no more than are started: whoever is refused or closed comes back with a request, and
these would otherwise arrive faster than they are started."""

MAX_WAIT_MS = 1_000.0
"""Wait after which a request is refused: its caller has time for another try."""


class StartOrder(Generic[Connection]):
    """The whole requests that wait for their start.

    Load pattern: thousands of callers send a request each within a second. If all are started at
    once, each takes as long as all of them. So a few are started in one turn of the event loop, and
    what has waited for too long is refused before its caller gives up. In calm no request waits.

    Those that are refused, or closed to make room, return at once. If they are more than are
    started, each ordinary request finds as many newer ones before it, whatever the order.
    """

    __slots__ = ("_evictions_left", "_queue", "_started")

    def __init__(self) -> None:
        self._queue: ArrivalQueue[Connection] = ArrivalQueue()
        self._started = 0
        self._evictions_left = MAX_EVICTIONS_PER_TURN

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue)

    @property
    def is_idle(self) -> bool:
        """Return whether nothing waits and nothing was started in this turn."""
        return not self._queue and not self._started

    @property
    def max_evictions(self) -> int | None:
        """Return how many idle connections may be closed for others; None for any number."""
        return self._evictions_left if self._queue else None

    def count_evictions(self, count: int) -> None:
        """Count connections that were closed for others in this turn."""
        self._evictions_left = max(0, self._evictions_left - count)

    def may_start(self) -> bool:
        """Return whether a request that has just come is started at once, and count it."""
        if self._queue or self._started >= MAX_STARTS_PER_TURN:
            return False
        self._started += 1
        return True

    def add(self, connection: Connection, now_ms: float) -> None:
        """Let a request wait."""
        self._queue.add(connection, now_ms)

    def discard(self, connection: Connection) -> None:
        """Remove a request whose connection is closed."""
        self._queue.discard(connection)

    def run(
        self,
        start: Callable[[Connection], None],
        refuse: Callable[[Connection], None],
        now_ms: float,
    ) -> None:
        """Begin a turn of the event loop: refuse what is too late, and start what is due in it."""
        refused = self._started = 0
        self._evictions_left = MAX_EVICTIONS_PER_TURN
        while self._queue.first_wait_ms(now_ms) > MAX_WAIT_MS and refused < MAX_REFUSALS_PER_TURN:
            refused += 1
            refuse(self._queue.pop_first())
        while self._queue and self._started < MAX_STARTS_PER_TURN:
            self._started += 1
            start(self._queue.pop(now_ms))
