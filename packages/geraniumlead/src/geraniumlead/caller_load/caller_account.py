from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from geraniumlead.caller_load.arrival_queue import ArrivalQueue
from geraniumlead.caller_load.caller_limits import CallerLimits
from geraniumlead.caller_load.held_memory import HeldMemory
from geraniumlead.caller_load.waiting_connections import WaitingConnections

Connection = TypeVar("Connection", bound=Hashable)

MAX_QUEUE_WAIT_MS = 1_500.0
"""Wait for a place after which a connection is closed: its caller has time for another try."""


@dataclass(slots=True)
class PlaceChanges(Generic[Connection]):
    """The connections that get a place and may be read, and those that have to be closed.

    ``evictions`` is how many of these are closed for others.
    """

    admitted: list[Connection] = field(default_factory=list)
    closed: list[Connection] = field(default_factory=list)
    evictions: int = 0


class CallerAccount(Generic[Connection]):
    """What the callers of one server hold: places for connections, and memory.

    The connections report what happens, and those that are returned have to be refused, closed or
    read. A connection that finds no place waits in a queue, unread. Times are in milliseconds.
    """

    __slots__ = ("_limits", "_memory", "_placed", "_queued", "_waiting")

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._placed: set[Connection] = set()
        self._queued: ArrivalQueue[Connection] = ArrivalQueue()
        self._waiting: WaitingConnections[Connection] = WaitingConnections()
        self._memory: HeldMemory[Connection] = HeldMemory(limits.held_bytes)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._placed) + len(self._queued)

    @property
    def has_queued(self) -> bool:
        """Return whether connections wait for a place."""
        return bool(self._queued)

    @property
    def held_bytes(self) -> int:
        """Return the memory that all connections hold."""
        return self._memory.total_bytes

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply changed limits from the next report on."""
        self._limits = limits
        self._memory.max_bytes = limits.held_bytes

    def open(
        self, connection: Connection, now_ms: float, max_evictions: int | None = None
    ) -> PlaceChanges[Connection]:
        """Add a connection, which may be read as soon as it is admitted."""
        self._queued.add(connection, now_ms)
        changes = self.admit(now_ms, max_evictions)
        if len(self._queued) > self._limits.queued:
            changes.closed.append(self._queued.pop_first())
        return changes

    def admit(self, now_ms: float, max_evictions: int | None = None) -> PlaceChanges[Connection]:
        """Give places to those that wait for one, and close others for them.

        ``max_evictions`` is how many may be closed for that; None for any number.
        """
        changes: PlaceChanges[Connection] = PlaceChanges()
        while self._queued.first_wait_ms(now_ms) > MAX_QUEUE_WAIT_MS:
            changes.closed.append(self._queued.pop_first())
        while self._queued:
            if len(self._placed) >= self._limits.connections:
                if max_evictions is not None and changes.evictions >= max_evictions:
                    break
                evicted = self._waiting.choose(now_ms)
                if evicted is None:
                    break
                self.close(evicted)
                changes.closed.append(evicted)
                changes.evictions += 1
            connection = self._queued.pop(now_ms)
            self._placed.add(connection)
            self._waiting.begin(connection, now_ms)
            changes.admitted.append(connection)
        return changes

    def close(self, connection: Connection) -> None:
        """Forget a connection."""
        self._placed.discard(connection)
        self._queued.discard(connection)
        self._waiting.forget(connection)
        self._memory.release(connection)

    def receive(
        self, connection: Connection, held_bytes: int, expected_bytes: int, now_ms: float
    ) -> list[Connection]:
        """Set the memory of a request that is being received; return whom to refuse."""
        # A connection that was closed may still report the end of its last request.
        if connection not in self._placed:
            return []
        return self._memory.hold(connection, held_bytes, expected_bytes, now_ms)

    def run(
        self, connection: Connection, held_bytes: int, is_large: bool, now_ms: float
    ) -> list[Connection]:
        """Set the memory of a whole request; return whom to refuse, maybe this one if it is large.

        From then on it is not refused, since it may be run.
        """
        if connection not in self._placed:
            return []
        refused = self.receive(connection, held_bytes, held_bytes, now_ms) if is_large else []
        if connection not in refused:
            refused += self._memory.keep(connection, held_bytes, now_ms)
            self._waiting.end(connection)
        return refused

    def wait(self, connection: Connection, unread_bytes: int, now_ms: float) -> list[Connection]:
        """Record that a request was answered, and the bytes of the answer that are still unread.

        Return the connections that have to be closed.
        """
        if connection in self._placed:
            self._waiting.begin_idle(connection)
        return self.hold_unread(connection, unread_bytes, now_ms)

    def hold_unread(
        self, connection: Connection, unread_bytes: int, now_ms: float
    ) -> list[Connection]:
        """Set the unread bytes of an answer; return the connections that have to be closed."""
        if unread_bytes:
            return self.receive(connection, unread_bytes, unread_bytes, now_ms)
        self._memory.release(connection)
        return []
