"""Run a store and upstreams: ``python -m geraniumlead_standins.misbehaving_clients.services``.

Prints the store's address, then publishes the limits of each line that it reads. Ends with its
input.
"""

import asyncio
import sys

from msgspec.json import decode

from geraniumlead_standins.forwarding import StubStore
from geraniumlead_standins.misbehaving_clients.deployment_names import (
    HOST,
    IDLE_TIMEOUT_MS,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MESSAGE_TIMEOUT_MS,
)
from geraniumlead_standins.misbehaving_clients.plain_upstream import (
    SHARD_RECORD_BYTES,
    PlainUpstream,
)

BOOKING_SERVERS = 10
SHARDS = 4
SERVERS_OF_A_SHARD = 2
LIMITS = {
    "maxHeaderBytes": MAX_HEADER_BYTES,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": MESSAGE_TIMEOUT_MS,
    "idleTimeoutMs": IDLE_TIMEOUT_MS,
}


def build_upstreams() -> list[PlainUpstream]:
    """Return the servers of the unsafe route, then those of all shards."""
    upstreams = [PlainUpstream(f"i-book-{number}", "book") for number in range(BOOKING_SERVERS)]
    for shard in range(SHARDS):
        record = b"%x" % shard * SHARD_RECORD_BYTES
        for number in range(SERVERS_OF_A_SHARD):
            upstreams.append(PlainUpstream(f"i-{shard}-{number}", f"shard-{shard}", record))
    return upstreams


def build_configuration(version: int, limits: dict) -> dict:
    """Return a configuration with an unsafe route and a query over all shards."""
    route = {"hostname": HOST, "timeoutMs": 3000, "latencyGoalMs": 500, "maxAttempts": 2}
    shards = [f"shard-{number}" for number in range(SHARDS)]
    booking = {"name": "book", "prefix": "/book/", "type": "unsafe", "service": "book"}
    query = {"name": "search", "prefix": "/search/", "type": "safe", "fanout": shards}
    return {
        "version": version,
        "routes": [route | booking, route | query | {"topK": 2, "oldestVersion": 0.5}],
        "services": [
            {"name": name, "maxConns": 200, "warmupPerS": 0.0} for name in ["book", *shards]
        ],
        "limits": LIMITS | limits,
    }


async def serve() -> None:
    """Serve until the input ends."""
    store = await StubStore().start()
    store.put("op/config", build_configuration(1, {}))
    for upstream in build_upstreams():
        await upstream.start()
        store.put(f"servers/{upstream.upstream_id}", upstream.entry())
    print(store.address, flush=True)
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    version = 1
    while line := await reader.readline():
        version += 1
        store.put("op/config", build_configuration(version, decode(line)))


if __name__ == "__main__":
    asyncio.run(serve())
