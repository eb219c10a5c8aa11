"""Run ASGI applications under uvicorn on the daemon's event loop."""

import asyncio
import logging
from random import Random, SystemRandom
from socket import socket

from uvicorn import Config, Server

from geraniumlead.caller_load import CallerLimits
from geraniumlead_server.bounded_protocol import BoundedProtocol
from geraniumlead_server.caller_guard import CallerGuard

GRACEFUL_SHUTDOWN_S = 2

MAX_ACCEPTS_PER_TURN = 32
"""Connections that are accepted in one turn of the event loop, beyond those that are allowed: each
is over the limit until another is closed for it, and file descriptors are limited as well."""

MAX_UNACCEPTED_CONNECTIONS = 2_048
"""Connections that wait in the socket; some hundred callers connect each second."""


class WebServer(Server):
    """A uvicorn server of one application that leaves signals to the daemon."""

    guard: CallerGuard

    @classmethod
    def from_address(
        cls,
        app,
        address: str,
        limits: CallerLimits,
        protocol: type[BoundedProtocol] = BoundedProtocol,
    ) -> "WebServer":
        """Build a server for an application and an ``IP:port`` address.

        Requests and connections above ``limits`` do not reach the application.
        """
        guard = CallerGuard(limits, Random(SystemRandom().getrandbits(64)))
        host, _, port = address.rpartition(":")
        config = Config(
            app,
            host=host.strip("[]"),
            port=int(port),
            log_config=None,
            log_level=logging.INFO,
            access_log=False,
            proxy_headers=False,
            lifespan="off",
            timeout_keep_alive=75,
            date_header=False,
            server_header=False,
            timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_S,
            http=protocol.with_guard(guard),
            ws="none",
            backlog=MAX_ACCEPTS_PER_TURN,
        )
        server = cls(config)
        server.guard = guard
        return server

    def start(self, sockets: list[socket] | None = None) -> asyncio.Task:
        """Serve in a task of the running loop, on ``sockets`` if given; these must be listening."""
        return asyncio.get_running_loop().create_task(self.serve(sockets))

    async def startup(self, sockets: list[socket] | None = None) -> None:
        """Listen; asyncio takes one number for what it accepts at once and for what may wait."""
        await super().startup(sockets)
        for listener in sockets or []:
            listener.listen(MAX_UNACCEPTED_CONNECTIONS)

    def capture_signals(self):
        """Install no signal handlers: the daemon's graceful stop takes longer than uvicorn's."""
        return _NullContext()


class _NullContext:
    def __enter__(self) -> None:
        return None

    def __exit__(self, *details) -> None:
        return None
