"""Query the operators' interfaces of many instances at once."""

import asyncio
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from msgspec import DecodeError
from msgspec.json import decode

TIMEOUT = ClientTimeout(total=3.0)
MAX_CONCURRENT_REQUESTS = 100


@dataclass(slots=True, frozen=True)
class Reply:
    """An instance's answer, or the reason why there is none.

    ``body`` is None if the instance did not answer, or answered 404.
    """

    address: str
    body: dict | None
    error: str = ""

    @property
    def is_reachable(self) -> bool:
        """Return whether the instance answered."""
        return not self.error


async def fetch_all(addresses: list[str], path: str) -> list[Reply]:
    """GET a path from every address, at most ``MAX_CONCURRENT_REQUESTS`` at a time."""
    async with ClientSession(
        timeout=TIMEOUT, connector=TCPConnector(limit=MAX_CONCURRENT_REQUESTS)
    ) as session:
        return await asyncio.gather(*(_fetch(session, address, path) for address in addresses))


def fetch_replies(addresses: list[str], path: str) -> list[Reply]:
    """Run ``fetch_all`` from synchronous code."""
    return asyncio.run(fetch_all(addresses, path))


async def _fetch(session: ClientSession, address: str, path: str) -> Reply:
    try:
        async with session.get(f"http://{address}{path}") as response:
            if response.status == 404:
                return Reply(address, None)
            response.raise_for_status()
            return Reply(address, decode(await response.read()))
    except (ClientError, OSError, TimeoutError, DecodeError, ValueError) as error:
        return Reply(address, None, f"{type(error).__name__}: {error}".rstrip(": "))
