import asyncio
import socket
import struct
from enum import StrEnum

from aiohttp import web


class UpstreamFault(StrEnum):
    """The fault with which a stub upstream answers.

    ``SHED`` refuses a request without executing it, and ``FAIL`` answers 500. ``HANG`` never
    answers. ``RESET`` resets the connection instead of answering, and ``CUT`` closes it before
    the last byte of the body. ``UNFRAMED_RESET`` sends a body without a content length and then
    resets the connection. ``EXTRA_LATE`` sends a second response that nobody requested after the
    answer. ``ENCODED`` labels a plain body as compressed.
    """

    NONE = "none"
    SHED = "shed"
    FAIL = "fail"
    HANG = "hang"
    RESET = "reset"
    CUT = "cut"
    UNFRAMED_RESET = "unframed_reset"
    EXTRA_LATE = "extra_late"
    ENCODED = "encoded"


class StubUpstream:
    """Serves requests as the platform's upstreams do, correctly or with a fault.

    It answers with ``body`` and a signature. ``ran`` holds the requests that were executed,
    ``bodies`` their bodies.
    """

    def __init__(self, upstream_id: str, body: bytes = b"answer") -> None:
        self.upstream_id = upstream_id
        self.body = body
        self.fault = UpstreamFault.NONE
        self.delay_s = 0.0
        self.ran: list[web.BaseRequest] = []
        self.bodies: list[bytes] = []
        self.connections = 0
        self.cancelled = 0
        self.address = ""
        self._runner: web.ServerRunner | None = None

    async def start(self, port: int = 0) -> "StubUpstream":
        """Listen on a loopback port; 0 takes a free one."""
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        return self

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def entry(self, service: str, data_centre: str = "noord-a", **changes) -> dict:
        """Return the entry that the upstream writes to the store."""
        entry = {
            "service": service,
            "addr": self.address,
            "zone": data_centre,
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "warmupLeftMs": 0,
            "seq": 1,
        }
        return entry | changes

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.headers.get("Expect-Instance") != self.upstream_id:
            return web.Response(status=421, headers={"Instance-Id": self.upstream_id})
        if self.fault is UpstreamFault.SHED:
            return web.Response(status=503, headers={"Not-Executed": "1"})
        self.bodies.append(await request.read())
        self.ran.append(request)
        try:
            await asyncio.sleep(3600.0 if self.fault is UpstreamFault.HANG else self.delay_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return await self._answer(request)

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        headers = {
            "Response-Stamp": f"{self.upstream_id}.{request.headers['Request-Id']}",
            "Request-Id": request.headers["Request-Id"],
        }
        transport = request.transport
        assert transport is not None
        match self.fault:
            case UpstreamFault.FAIL:
                return web.Response(status=500, headers=headers)
            case UpstreamFault.RESET:
                _reset(transport)
            case UpstreamFault.CUT:
                transport.write(_head(headers, len(self.body)) + self.body[:-1])
                transport.close()
            case UpstreamFault.UNFRAMED_RESET:
                transport.write(_head(headers, None) + self.body)
                await asyncio.sleep(0.05)
                _reset(transport)
            case UpstreamFault.EXTRA_LATE:
                extra = _head(headers, 5) + b"EXTRA"
                asyncio.get_running_loop().call_later(0.05, transport.write, extra)
            case UpstreamFault.ENCODED:
                headers["Content-Encoding"] = "gzip"
        return web.Response(body=self.body, headers=headers)


def _reset(transport: asyncio.Transport) -> None:
    """End a connection with a TCP reset, which must not be taken for the end of an answer."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def _head(headers: dict[str, str], length: int | None) -> bytes:
    lines = [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode()
