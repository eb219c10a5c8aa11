from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)

UNITS_PER_TURN = 2_048
"""Work on large requests in one turn of the event loop; a unit is a call of the parser, some
microsecond."""


class ParseTurns(Generic[Connection]):
    """The connections whose large requests wait to be parsed, in turn.

    Load pattern: hundreds of callers send bodies in chunks of some bytes, heads of thousands of
    fields, or small pieces without a pause. Parsing what has been received of all of them takes
    seconds, in which no other request is read. So the work on them in one turn of the event loop is
    limited, and each gets a part of it in turn. Requests of ordinary size need no turn.
    """

    __slots__ = ("_connections",)

    def __init__(self) -> None:
        self._connections: dict[Connection, None] = {}

    def __len__(self) -> int:
        """Return the number of connections that wait."""
        return len(self._connections)

    def add(self, connection: Connection) -> None:
        """Add a connection behind all others, unless it waits already."""
        self._connections.setdefault(connection, None)

    def discard(self, connection: Connection) -> None:
        """Remove a connection."""
        self._connections.pop(connection, None)

    def run(self, take_turn: Callable[[Connection], int]) -> None:
        """Let connections take their turns until the work of a turn of the loop is done.

        ``take_turn`` returns the units of work that it did, at least one.
        """
        done_units = 0
        while self._connections and done_units < UNITS_PER_TURN:
            connection = next(iter(self._connections))
            del self._connections[connection]
            done_units += take_turn(connection)
