"""Notice that an upstream closes its connections, also when no call is under way."""

import asyncio
from collections.abc import Callable

from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler


class WatchedHandler(ResponseHandler):
    """Be a connection that reports its end when the other side caused it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, owner: "WatchedConnector") -> None:
        super().__init__(loop)
        self._owner = owner
        self._is_closed_there = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._owner.open_count += 1

    def eof_received(self) -> None:
        """Note that the other side closed."""
        self._is_closed_there = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the loss of the last connection, unless this side closed it."""
        super().connection_lost(exc)
        self._owner.open_count -= 1
        if self._owner.open_count == 0 and (self._is_closed_there or exc is not None):
            self._owner.on_disconnect()


class WatchedConnector(TCPConnector):
    """Pool connections as usual, and call ``on_disconnect`` when the last one was closed there.

    A restart closes idle connections, and this may be its only sign before the next call.
    aiohttp has no public hook for the end of an idle connection, so its protocol factory is
    replaced; a test fails when a new version no longer uses it.
    """

    def __init__(self, on_disconnect: Callable[[], None], **options) -> None:
        super().__init__(**options)
        self.on_disconnect = on_disconnect
        self.open_count = 0
        self._factory = lambda: WatchedHandler(self._loop, self)
