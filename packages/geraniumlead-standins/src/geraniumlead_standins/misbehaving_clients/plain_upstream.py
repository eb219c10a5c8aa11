"""Serve requests of any legal form as an upstream does, with little work for each."""

import asyncio

from geraniumlead_standins.misbehaving_clients.deployment_names import ANSWER_BYTES

MAX_HEAD_BYTES = 65_536
ANSWER = b"answer"
SHARD_RECORD_BYTES = 16


class PlainUpstream:
    """An upstream that accepts heads of any number of fields; ``ran`` counts its requests."""

    def __init__(self, upstream_id: str, service: str, answer: bytes = ANSWER) -> None:
        self.upstream_id = upstream_id
        self.service = service
        self.ran = 0
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def start(self) -> "PlainUpstream":
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES, backlog=512
        )
        return self

    def entry(self) -> dict:
        """Return what the upstream writes to the store."""
        host, port = self._server.sockets[0].getsockname()
        return {
            "service": self.service,
            "addr": f"{host}:{port}",
            "zone": "noord-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "warmupLeftMs": 0,
            "seq": 1,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._serve_request(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            # The instance has closed the connection.
            pass
        finally:
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        request_line, _, rest = head.partition(b"\r\n")
        fields = _read_fields(rest)
        if b"content-length" in fields:
            await reader.readexactly(int(fields[b"content-length"]))
        self.ran += 1
        path = request_line.split()[1].decode()
        body = b"x" * ANSWER_BYTES[path] if path in ANSWER_BYTES else self._answer
        request_id = fields[b"request-id"].decode()
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Response-Stamp: {self.upstream_id}.{request_id}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        await writer.drain()


def _read_fields(head: bytes) -> dict[bytes, bytes]:
    """Return the fields that an upstream needs; of the others there may be thousands."""
    fields = {}
    for line in head.split(b"\r\n"):
        if len(line) > 3:
            name, _, value = line.partition(b":")
            fields[name.lower()] = value.strip()
    return fields
