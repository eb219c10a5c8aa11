"""Hold what all callers' connections of one server share: account, turns, buffer and counts."""

import asyncio
import logging
from collections import Counter
from random import Random
from typing import Protocol

from geraniumlead.caller_load import (
    CallerAccount,
    CallerLimits,
    ParseTurns,
    PlaceChanges,
    RefusalCause,
    StartOrder,
)

READ_BYTES = 16_384
"""Largest read of a connection: a read of thousands of short requests or fields would take many
times its size in memory, and hold the event loop for a tenth of a second."""

LOG_INTERVAL_S = 1.0
MIN_RETRY_AFTER_MS = 300.0
RETRY_AFTER_SPREAD_MS = 400.0

ADMISSION_INTERVAL_S = 0.05
"""Interval at which those that wait for a place get one whose time is over."""

logger = logging.getLogger("geraniumlead")


class GuardedConnection(Protocol):
    """A caller's connection as the guard uses it."""

    def take_turn(self) -> int:
        """Parse a part of a large request; return the units of work."""

    def begin_reading(self) -> None:
        """Read requests, since the connection has a place."""

    def start_request(self) -> None:
        """Hand a whole request to the application."""

    def refuse_start(self) -> None:
        """Refuse a whole request that was not started in time."""

    def close_for_others(self, cause: RefusalCause) -> None:
        """Refuse the request that is being received, or close the connection."""


class CallerGuard:
    """Applies the decisions on callers' connections, and counts whom it refuses.

    The counts since the last line are logged at most once in LOG_INTERVAL_S, since thousands of
    callers may be refused a second.
    """

    def __init__(self, limits: CallerLimits, random: Random) -> None:
        self._random = random
        self.account: CallerAccount[GuardedConnection] = CallerAccount(limits)
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.refused: Counter[RefusalCause] = Counter()
        self._unlogged: Counter[RefusalCause] = Counter()
        self._turns: ParseTurns[GuardedConnection] = ParseTurns()
        self._starts: StartOrder[GuardedConnection] = StartOrder()
        self._is_turn_scheduled = False
        self._is_admission_scheduled = False

    @property
    def now_ms(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time() * 1000.0

    def open(self, connection: GuardedConnection) -> None:
        """Add a connection, and close others if there are too many."""
        self._change_places(self.account.open(connection, self.now_ms, self._starts.max_evictions))

    def close(self, connection: GuardedConnection) -> None:
        """Forget a connection."""
        self.account.close(connection)
        self._turns.discard(connection)
        self._starts.discard(connection)
        self._admit()

    def receive(self, connection: GuardedConnection, held: int, expected: int) -> None:
        """Report the bytes that a request holds so far, and will hold in the end."""
        self._refuse_all(self.account.receive(connection, held, expected, self.now_ms))

    def run(self, connection: GuardedConnection, held_bytes: int, is_large: bool) -> bool:
        """Report a whole request; return whether it may run."""
        chosen = self.account.run(connection, held_bytes, is_large, self.now_ms)
        may_run = connection not in chosen
        self._refuse_all([other for other in chosen if other is not connection])
        return may_run

    def start(self, connection: GuardedConnection) -> None:
        """Let the application have a whole request, at once or in one of the next turns."""
        if self._starts.is_idle:
            asyncio.get_running_loop().call_soon(self._run_starts)
        if self._starts.may_start():
            connection.start_request()
        else:
            self._starts.add(connection, self.now_ms)

    def wait(self, connection: GuardedConnection, unread_bytes: int) -> None:
        """Report that a request was answered, and what is unread of the answer."""
        self._refuse_all(self.account.wait(connection, unread_bytes, self.now_ms))
        self._admit()

    def hold_unread(self, connection: GuardedConnection, unread_bytes: int) -> None:
        """Report what is unread of an answer."""
        self._refuse_all(self.account.hold_unread(connection, unread_bytes, self.now_ms))

    def _refuse_all(self, connections: list[GuardedConnection]) -> None:
        for connection in connections:
            connection.close_for_others(RefusalCause.MEMORY)

    def _admit(self) -> None:
        if self.account.has_queued:
            self._change_places(self.account.admit(self.now_ms, self._starts.max_evictions))

    def _change_places(self, changes: PlaceChanges[GuardedConnection]) -> None:
        self._starts.count_evictions(changes.evictions)
        for connection in changes.closed:
            connection.close_for_others(RefusalCause.CONNECTIONS)
        for connection in changes.admitted:
            connection.begin_reading()
        if self.account.has_queued and not self._is_admission_scheduled:
            self._is_admission_scheduled = True
            asyncio.get_running_loop().call_later(ADMISSION_INTERVAL_S, self._admit_later)

    def _admit_later(self) -> None:
        self._is_admission_scheduled = False
        self._admit()

    def await_turn(self, connection: GuardedConnection) -> None:
        """Let a connection go on with its large request when it is its turn."""
        self._turns.add(connection)
        self._schedule_turn()

    def leave_turns(self, connection: GuardedConnection) -> None:
        """Remove a connection from those that wait for their turn or their start."""
        self._turns.discard(connection)
        self._starts.discard(connection)

    def draw_retry_after_ms(self) -> float:
        """Return when a refused caller may come back; they do not all come at once."""
        return MIN_RETRY_AFTER_MS + RETRY_AFTER_SPREAD_MS * self._random.random()

    def record_refusal(self, cause: RefusalCause) -> None:
        """Count a refused request or a closed connection."""
        self.refused[cause] += 1
        if not self._unlogged:
            asyncio.get_running_loop().call_later(LOG_INTERVAL_S, self._log)
        self._unlogged[cause] += 1

    def _schedule_turn(self) -> None:
        if self._turns and not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_turn_scheduled = False
        try:
            self._turns.run(lambda connection: connection.take_turn())
        finally:
            self._schedule_turn()

    def _run_starts(self) -> None:
        try:
            self._starts.run(
                lambda connection: connection.start_request(),
                lambda connection: connection.refuse_start(),
                self.now_ms,
            )
            self._admit()
        finally:
            if not self._starts.is_idle:
                asyncio.get_running_loop().call_soon(self._run_starts)

    def _log(self) -> None:
        counts = {str(cause): count for cause, count in self._unlogged.items()}
        self._unlogged.clear()
        fields = {
            "refused": counts,
            "connections": self.account.connections,
            "held_bytes": self.account.held_bytes,
        }
        logger.warning("callers_refused", extra={"fields": fields})
