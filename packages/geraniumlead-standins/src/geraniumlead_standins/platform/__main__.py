"""Run the platform stand-in: ``python -m geraniumlead_standins.platform``."""

import argparse
import asyncio
from pathlib import Path

from aiohttp import web
from msgspec.json import decode, encode

from geraniumlead_standins.platform.app import PlatformApp
from geraniumlead_standins.platform.store import PlatformStore


async def serve(address: str, documents: dict) -> None:
    """Publish the initial documents and serve until cancelled."""
    store = PlatformStore()
    for key, value in documents.items():
        store.put(key, encode(value))
    runner = web.AppRunner(PlatformApp(store).build(), access_log=None)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, help="IP:port")
    parser.add_argument(
        "--documents", type=Path, required=True, help="JSON object of documents by key"
    )
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.listen, decode(arguments.documents.read_bytes())))


if __name__ == "__main__":
    main()
