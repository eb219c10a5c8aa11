"""Ask the operators' interfaces of many instances at once."""

import asyncio
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from msgspec import DecodeError
from msgspec.json import decode

TIMEOUT = ClientTimeout(total=3.0)
MOST_AT_ONCE = 100


@dataclass(slots=True, frozen=True)
class Reply:
    """Hold what an instance answered, or why there is no answer.

    ``body`` is None when it did not answer or does not know what was asked for.
    """

    address: str
    body: dict | None
    error: str = ""

    @property
    def is_reachable(self) -> bool:
        """Return whether the instance answered at all."""
        return not self.error


async def fetch_all(addresses: list[str], path: str) -> list[Reply]:
    """GET a path from every address, at most MOST_AT_ONCE at a time."""
    async with ClientSession(
        timeout=TIMEOUT, connector=TCPConnector(limit=MOST_AT_ONCE)
    ) as session:
        return await asyncio.gather(*(_fetch(session, address, path) for address in addresses))


def ask(addresses: list[str], path: str) -> list[Reply]:
    """Run ``fetch_all`` to its end."""
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
