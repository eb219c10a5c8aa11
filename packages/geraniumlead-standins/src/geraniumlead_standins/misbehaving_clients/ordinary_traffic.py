"""Send requests of callers that behave, and record how they fare."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from geraniumlead_standins.misbehaving_clients.deployment_names import (
    BOOKING_PATH,
    HOST,
    QUERY_PATH,
)

REQUESTS_PER_S = 30.0
DEADLINE_S = 3.0
ATTEMPTS = 2
IDLE_S = 10.0
OK = 200


@dataclass(slots=True)
class Fares:
    """How the requests of a span of time fared: the latency of each served one, in ms."""

    sent: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    @property
    def served_share(self) -> float:
        return len(self.latencies_ms) / self.sent if self.sent else 0.0

    def percentile_ms(self, share: float) -> float:
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


class OrdinaryTraffic:
    """Half queries, half bookings; each attempt is sent to the next instance.

    Every second client keeps its connections, the others open one for each request.
    """

    def __init__(self, addresses: list[str], requests_per_s: float = REQUESTS_PER_S) -> None:
        self._requests_per_s = requests_per_s
        self._addresses = itertools.cycle(addresses)
        self._numbers = itertools.count()
        self._sessions: list[ClientSession] = []

    async def run(self, seconds: float) -> Fares:
        """Send at a steady rate for some seconds; return when all requests have ended."""
        if not self._sessions:
            self._sessions = [_build_session(is_kept) for is_kept in (True, False)]
        fares = Fares()
        tasks = []
        began_s = time.monotonic()
        for number in range(int(seconds * self._requests_per_s)):
            await asyncio.sleep(began_s + number / self._requests_per_s - time.monotonic())
            tasks.append(asyncio.create_task(self._request(fares)))
        await asyncio.gather(*tasks)
        return fares

    async def close(self) -> None:
        """Close all connections."""
        for session in self._sessions:
            await session.close()

    async def _request(self, fares: Fares) -> None:
        number = next(self._numbers)
        method, path = ("POST", BOOKING_PATH) if number % 2 else ("GET", QUERY_PATH)
        fares.sent += 1
        began_s = time.monotonic()
        for attempt in range(ATTEMPTS):
            left_s = DEADLINE_S - (time.monotonic() - began_s)
            outcome = await self._attempt(f"{number}-{attempt}", method, path, number, left_s)
            if outcome == OK:
                fares.latencies_ms.append((time.monotonic() - began_s) * 1000.0)
                return
            fares.failures.append(f"{path} {outcome}")

    async def _attempt(
        self, request_id: str, method: str, path: str, number: int, left_s: float
    ) -> int | str:
        """Return the status of the answer, or what came instead."""
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(left_s * 1000)),
        }
        session = self._sessions[number // 2 % 2]
        url = f"http://{next(self._addresses)}{path}"
        data = b"hour" if method == "POST" else None
        try:
            async with asyncio.timeout(max(0.01, left_s)):
                async with session.request(method, url, headers=headers, data=data) as answer:
                    await answer.read()
                    return answer.status
        except (ClientError, OSError, TimeoutError) as error:
            return type(error).__name__


def _build_session(is_kept: bool) -> ClientSession:
    if is_kept:
        connector = TCPConnector(limit=0, keepalive_timeout=IDLE_S)
    else:
        connector = TCPConnector(limit=0, force_close=True)
    session = ClientSession(connector=connector, timeout=ClientTimeout(total=None))
    # A repeated booking would be counted as one attempt.
    session._retry_connection = False
    return session
