"""Send requests at a steady rate for a bounded time."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from msgspec import DecodeError
from msgspec.json import decode


@dataclass(slots=True, frozen=True)
class BoundedLoad:
    """The requests to send, their targets, rate and duration."""

    addresses: list[str]
    credential: str
    class_name: str
    query: str
    rate_per_s: float
    duration_s: float
    timeout_s: float


@dataclass(slots=True, frozen=True)
class LoadResult:
    """The number of requests by outcome, and the latency of all answered requests."""

    sent: int
    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float


async def send_load(load: BoundedLoad) -> LoadResult:
    """Send to the addresses in turn, wait for all answers and return the result."""
    outcomes: Counter = Counter()
    times_ms: list[float] = []
    async with ClientSession(
        timeout=ClientTimeout(total=load.timeout_s), connector=TCPConnector(limit=0)
    ) as session:
        tasks = []
        started_s = time.monotonic()
        for number in range(int(load.rate_per_s * load.duration_s)):
            due_s = started_s + number / load.rate_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            address = load.addresses[number % len(load.addresses)]
            tasks.append(asyncio.create_task(_send_one(session, load, address, outcomes, times_ms)))
        await asyncio.gather(*tasks)
    times_ms.sort()
    return LoadResult(
        len(tasks), dict(outcomes), _percentile(times_ms, 0.5), _percentile(times_ms, 0.99)
    )


async def _send_one(
    session: ClientSession,
    load: BoundedLoad,
    address: str,
    outcomes: Counter,
    times_ms: list[float],
) -> None:
    started_s = time.monotonic()
    headers = {
        "Authorization": f"Bearer {load.credential}",
        "Content-Type": "application/json",
    }
    body = f'{{"class":"{load.class_name}","query":{load.query}}}'
    try:
        async with session.post(
            f"http://{address}/v1/queries", data=body, headers=headers
        ) as response:
            answer = decode(await response.read())
            outcomes[answer.get("outcome", f"http {response.status}")] += 1
    except (ClientError, OSError, TimeoutError, DecodeError):
        outcomes["unanswered"] += 1
        return
    times_ms.append((time.monotonic() - started_s) * 1000.0)


def _percentile(sorted_values: list[float], fraction: float) -> float:
    if not sorted_values:
        return 0.0
    return sorted_values[min(len(sorted_values) - 1, int(len(sorted_values) * fraction))]
