"""Run ASGI applications under uvicorn on the daemon's own loop."""

import asyncio
from socket import socket

from uvicorn import Config, Server

from geraniumlead_server.bounded_protocol import BoundedProtocol

GRACEFUL_SECONDS = 2


class WebServer(Server):
    """Serve one application; the daemon itself handles signals."""

    @classmethod
    def from_address(
        cls,
        app,
        address: str,
        most_connections: int,
        protocol: type[BoundedProtocol] = BoundedProtocol,
    ) -> "WebServer":
        """Build a server for an application and an ``IP:port`` address.

        Above ``most_connections`` a request is answered 503 without reaching the application.
        """
        host, _, port = address.rpartition(":")
        config = Config(
            app,
            host=host.strip("[]"),
            port=int(port),
            log_config=None,
            access_log=False,
            lifespan="off",
            timeout_keep_alive=75,
            date_header=False,
            server_header=False,
            timeout_graceful_shutdown=GRACEFUL_SECONDS,
            http=protocol,
            ws="none",
            limit_concurrency=most_connections,
        )
        return cls(config)

    def start(self, sockets: list[socket] | None = None) -> asyncio.Task:
        """Serve in a task of the running loop, on sockets that listen already if given."""
        return asyncio.get_running_loop().create_task(self.serve(sockets))

    def capture_signals(self):
        """Leave the signals to the daemon, whose graceful stop takes longer."""
        return _NoSignals()


class _NoSignals:
    def __enter__(self) -> None:
        return None

    def __exit__(self, *details) -> None:
        return None
