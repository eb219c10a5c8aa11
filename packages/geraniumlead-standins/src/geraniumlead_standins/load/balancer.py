import asyncio
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout

PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT = ClientTimeout(total=0.5)


class Balancer:
    """A stand-in for the platform's load balancer.

    It probes all entry instances and spreads requests over the ready ones.
    """

    def __init__(self, session: ClientSession, addresses: list[str], random: Random) -> None:
        self._session = session
        self._addresses = addresses
        self._random = random
        self._ready = list(addresses)

    async def run(self) -> None:
        """Probe all instances periodically until cancelled."""
        while True:
            answers = await asyncio.gather(*(self._probe(name) for name in self._addresses))
            self._ready = [
                name for name, ready in zip(self._addresses, answers, strict=True) if ready
            ]
            await asyncio.sleep(PROBE_INTERVAL_S)

    def choose(self, *excluded: str) -> str:
        """Return a random ready instance, if possible one that is not in ``excluded``."""
        ready = self._ready or self._addresses
        return self._random.choice([name for name in ready if name not in excluded] or ready)

    async def _probe(self, address: str) -> bool:
        try:
            async with self._session.get(
                f"http://{address}/ready", timeout=PROBE_TIMEOUT
            ) as response:
                return response.status == 200
        except (ClientError, TimeoutError, OSError):
            return False
