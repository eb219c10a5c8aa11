"""Detect that an upstream closes its connections, also while no call is in progress."""

import asyncio
from collections.abc import Callable

from aiohttp import TCPConnector

from geraniumlead_server.answer_memory import AnswerMemory
from geraniumlead_server.resetting_connection import ResettingConnection


class MonitoredHandler(ResettingConnection):
    """A connection that reports its end when the upstream caused it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, owner: "MonitoredConnector") -> None:
        super().__init__(loop, owner.memory)
        self._owner = owner
        self._is_closed_by_upstream = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._owner.open_count += 1

    def eof_received(self) -> None:
        """Record that the upstream closed the connection."""
        self._is_closed_by_upstream = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the loss of the last open connection, unless this side closed it."""
        super().connection_lost(exc)
        self._owner.open_count -= 1
        if self._owner.open_count == 0 and (self._is_closed_by_upstream or exc is not None):
            self._owner.on_disconnect()


class MonitoredConnector(TCPConnector):
    """A connection pool that calls ``on_disconnect`` when the upstream closes the last one.

    A restart closes idle connections, which may be its only sign before the next call.
    aiohttp has no public hook for the end of an idle connection, so its protocol factory is
    replaced; a test fails if a new version no longer uses it.
    """

    def __init__(self, on_disconnect: Callable[[], None], **options) -> None:
        super().__init__(**options)
        self.on_disconnect = on_disconnect
        self.open_count = 0
        self.memory = AnswerMemory()
        self._factory = lambda: MonitoredHandler(self._loop, self)
