"""Send a bounded load of requests: ``python -m geraniumlead_standins.load``."""

import argparse
import asyncio
from pathlib import Path
from random import Random

from aiohttp import ClientSession, ClientTimeout, TCPConnector
from msgspec import to_builtins
from msgspec.json import decode, encode

from geraniumlead_standins.history import HistoryWriter
from geraniumlead_standins.load.balancer import Balancer
from geraniumlead_standins.load.caller import Caller
from geraniumlead_standins.load.load_plan import LoadPlan
from geraniumlead_standins.load.sent_request import SentRequest
from geraniumlead_standins.load.summary import summarise


async def run(plan: LoadPlan) -> list[SentRequest]:
    """Send the load of a plan and return all requests with their outcomes."""
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector, timeout=ClientTimeout(total=None)) as session:
        balancer = Balancer(session, plan.addresses, Random(f"{plan.seed}/balancer"))
        probing = asyncio.create_task(balancer.run())
        callers = [
            Caller(session, balancer, load, Random(f"{plan.seed}/{load.class_name}"))
            for load in plan.classes
        ]
        await asyncio.gather(*(caller.run(plan.duration_s) for caller in callers))
        probing.cancel()
    return [sent for caller in callers for sent in caller.sent]


def main() -> None:
    """Parse the command line, send, and print the counts as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plan", type=Path, required=True, help="JSON file of a load plan")
    arguments = parser.parse_args()
    plan = decode(arguments.plan.read_bytes(), type=LoadPlan)
    requests = asyncio.run(run(plan))
    history = HistoryWriter(Path(plan.history) if plan.history else None, "callers")
    for sent in requests:
        history.write("request", **to_builtins(sent))
    print(encode(summarise(requests)).decode())


if __name__ == "__main__":
    main()
