"""A server that sends the first bytes of an answer and then breaks off."""

import asyncio
import socket
from enum import Enum

from geraniumlead_server.resetting_connection import RESET_ON_CLOSE


class Ending(Enum):
    """How the connection ends after the last byte."""

    CLOSED = "closed"
    RESET = "reset"
    CLOSED_AFTER_A_PAUSE = "closed after a pause"


PAUSE_S = 0.005


class CutUpstream:
    """Answers each request on a connection with the next of ``answers``; the last one breaks off.

    All but the last are sent whole; of the last, ``sent_bytes`` are sent, in two pieces if there is
    a pause, and the connection ends.
    """

    def __init__(self) -> None:
        self.answers: tuple[bytes, ...] = ()
        self.sent_bytes = 0
        self.ending = Ending.CLOSED
        self._server: asyncio.Server | None = None

    async def start(self) -> "CutUpstream":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    @property
    def address(self) -> str:
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def stop(self) -> None:
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            for answer in self.answers[:-1]:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()
            await reader.readuntil(b"\r\n\r\n")
            await self._send_part(writer, self.answers[-1][: self.sent_bytes])
        except (OSError, asyncio.IncompleteReadError):
            # The client has closed the connection after an answer that it did not accept.
            pass
        finally:
            writer.close()

    async def _send_part(self, writer: asyncio.StreamWriter, part: bytes) -> None:
        if self.ending is Ending.CLOSED_AFTER_A_PAUSE:
            writer.write(part[: len(part) // 2])
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
            part = part[len(part) // 2 :]
        writer.write(part)
        await writer.drain()
        if self.ending is Ending.RESET:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
