"""Fan out queries with only falcon, asyncio and aiohttp: the baseline of an instance.

Run as ``python -m geraniumlead_standins.capacity.bare_fan_out``. It makes the same calls as an
entry instance and joins the same records, but without contracts, limits, versions, deadlines of
its own, retries or coverage.
"""

import argparse
import asyncio
from pathlib import Path

import falcon.asgi
import uvicorn
from aiohttp import ClientSession, ClientTimeout, TCPConnector
from msgspec import Raw, Struct
from msgspec.json import Decoder, decode, encode

DEADLINE_S = 2.0


class RecordsBody(Struct):
    """The field of an upstream's answer that is joined."""

    records: Raw


_RECORDS = Decoder(RecordsBody)


class BareResource:
    """The resource that queries the first replica of every shard and joins the records."""

    def __init__(self, addresses: list[str], connections: int) -> None:
        self._addresses = addresses
        self._connections = connections
        self._sessions: list[ClientSession] = []

    async def on_post(self, request, response) -> None:
        """Answer one query."""
        query = decode(await request.stream.read())["query"]
        if not self._sessions:
            self._sessions = [
                ClientSession(connector=TCPConnector(limit=self._connections))
                for _ in self._addresses
            ]
        texts = await asyncio.gather(
            *(self._query_shard(shard, query) for shard in range(len(self._addresses)))
        )
        response.content_type = falcon.MEDIA_JSON
        response.data = b'{"records":[' + b",".join(text[1:-1] for text in texts) + b"]}"

    async def _query_shard(self, shard: int, query) -> bytes:
        body = {
            "call_id": str(shard),
            "request_id": "bare",
            "service": "lookup",
            "index_version": 1,
            "shard": shard,
            "query": query,
        }
        async with self._sessions[shard].post(
            f"http://{self._addresses[shard]}/v1/subqueries",
            data=encode(body),
            headers={"Content-Type": "application/json"},
            timeout=ClientTimeout(total=DEADLINE_S),
        ) as answer:
            return bytes(_RECORDS.decode(await answer.read()).records)


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, help="IP:port")
    parser.add_argument("--addresses", type=Path, required=True, help="JSON list of addresses")
    parser.add_argument("--connections", type=int, default=25)
    arguments = parser.parse_args()
    app = falcon.asgi.App()
    addresses = decode(arguments.addresses.read_bytes())
    app.add_route("/v1/queries", BareResource(addresses, arguments.connections))
    host, _, port = arguments.listen.rpartition(":")
    uvicorn.run(app, host=host, port=int(port), log_level="warning", lifespan="off")


if __name__ == "__main__":
    main()
