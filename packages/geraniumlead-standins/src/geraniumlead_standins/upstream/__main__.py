"""Run upstream servers: ``python -m geraniumlead_standins.upstream``."""

import argparse
import asyncio
from pathlib import Path
from random import Random

from aiohttp import web
from msgspec.json import decode

from geraniumlead_standins.history import HistoryWriter
from geraniumlead_standins.upstream.app import UpstreamApp
from geraniumlead_standins.upstream.control import ControlApp
from geraniumlead_standins.upstream.server_plan import ProcessPlan


async def listen(app: web.Application, address: str) -> None:
    """Start serving an application on an ``IP:port`` address."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()


async def serve(plan: ProcessPlan) -> None:
    """Run all servers of a plan until cancelled."""
    history_path = Path(plan.history) if plan.history else None
    servers: dict[str, UpstreamApp] = {}
    for server_plan in plan.servers:
        random = Random(f"{plan.seed}/{server_plan.upstream_id}")
        history = HistoryWriter(history_path, server_plan.upstream_id)
        server = UpstreamApp(server_plan, random, history)
        servers[server_plan.upstream_id] = server
        await listen(server.build(), server_plan.address)
    await listen(ControlApp(servers).build(), plan.control)
    await asyncio.Event().wait()


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plan", type=Path, required=True, help="JSON file of a process plan")
    arguments = parser.parse_args()
    asyncio.run(serve(decode(arguments.plan.read_bytes(), type=ProcessPlan)))


if __name__ == "__main__":
    main()
