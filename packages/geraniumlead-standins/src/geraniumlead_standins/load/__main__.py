"""Send a bounded load of requests: ``python -m geraniumlead_standins.load``."""

import argparse
import asyncio
import time
from collections import Counter
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec.json import decode, encode

GRACE_S = 1.0


async def send_one(
    session: ClientSession, address: str, body: dict, headers: dict, outcomes: Counter, times: list
) -> None:
    """Send one request and note its outcome and time."""
    started = time.monotonic()
    try:
        async with session.post(
            f"http://{address}/v1/queries", data=encode(body), headers=headers
        ) as response:
            outcomes[decode(await response.read()).get("outcome", str(response.status))] += 1
    except (ClientError, TimeoutError) as error:
        outcomes[type(error).__name__] += 1
    times.append(time.monotonic() - started)


async def run(arguments: argparse.Namespace) -> dict:
    """Send requests at a steady rate, spread over the entry instances; return counts."""
    random = Random(arguments.seed)
    outcomes: Counter = Counter()
    times: list[float] = []
    headers = {
        "Authorization": f"Bearer {arguments.credential}",
        "Content-Type": "application/json",
    }
    body = {"class": arguments.traffic_class, "query": {"text": "x"}}
    async with ClientSession(
        timeout=ClientTimeout(total=arguments.deadline_s + GRACE_S)
    ) as session:
        tasks = []
        for _ in range(int(arguments.rate_per_s * arguments.duration_s)):
            address = random.choice(arguments.address)
            tasks.append(
                asyncio.create_task(send_one(session, address, body, headers, outcomes, times))
            )
            await asyncio.sleep(random.expovariate(arguments.rate_per_s))
        await asyncio.gather(*tasks)
    times.sort()
    return {
        "sent": len(times),
        "outcomes": dict(outcomes),
        "p50_ms": round(times[len(times) // 2] * 1000, 2),
        "p99_ms": round(times[int(len(times) * 0.99)] * 1000, 2),
    }


def main() -> None:
    """Parse the command line, send, and print the counts as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", action="append", required=True, help="entry IP:port")
    parser.add_argument("--credential", required=True)
    parser.add_argument("--class", dest="traffic_class", required=True)
    parser.add_argument("--rate-per-s", type=float, default=50.0)
    parser.add_argument("--duration-s", type=float, default=5.0)
    parser.add_argument("--deadline-s", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    print(encode(asyncio.run(run(parser.parse_args()))).decode())


if __name__ == "__main__":
    main()
