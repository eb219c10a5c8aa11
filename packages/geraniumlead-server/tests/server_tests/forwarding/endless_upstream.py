"""A server whose answers do not end until the client closes the connection."""

import asyncio
from enum import Enum

HEAD = b"HTTP/1.1 200 OK\r\n"
PIECE_BYTES = 65_536
MAX_SENT_BYTES = 512 * 1024 * 1024


class Endless(Enum):
    """What has no end: the start of the answer, and the piece that is repeated."""

    CHUNKED_BODY = (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * PIECE_BYTES + b"\r\n",
    )
    SMALL_CHUNKS = (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 8192)
    BODY_WITHOUT_LENGTH = (HEAD + b"Connection: close\r\n\r\n", b"x" * PIECE_BYTES)
    HEADERS = (HEAD, b"X-A: b\r\n" * 8192)
    HEADER_LINE = (HEAD + b"X-A: ", b"y" * PIECE_BYTES)
    BYTES_THAT_ARE_NO_ANSWER = (b"", b"\x00\x01z" * 21_000)
    INTERIM_ANSWERS = (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_600)


class EndlessUpstream:
    """Accepts connections and answers each request without end.

    ``sent_bytes`` counts what was sent, ``open_connections`` those that the client has not closed.
    """

    def __init__(self, mode: Endless) -> None:
        self.mode = mode
        self.sent_bytes = 0
        self.requests = 0
        self.open_connections = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> "EndlessUpstream":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    @property
    def address(self) -> str:
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def stop(self) -> None:
        self._server.close()
        await self._server.wait_closed()

    async def wait_until_closed(self) -> None:
        """Wait until the client has closed all connections."""
        async with asyncio.timeout(10.0):
            while self.open_connections:
                await asyncio.sleep(0.01)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        start, piece = self.mode.value
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(start)
            while self.sent_bytes < MAX_SENT_BYTES:
                writer.write(piece)
                self.sent_bytes += len(piece)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            # The client has closed the connection, as it should.
            pass
        finally:
            self.open_connections -= 1
            writer.close()
