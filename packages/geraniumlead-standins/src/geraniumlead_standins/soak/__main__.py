"""Soak real processes: ``python -m geraniumlead_standins.soak --seed N --duration-s M``."""

import argparse
import asyncio
import sys
from collections import Counter
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from aiohttp import ClientSession, ClientTimeout, TCPConnector

from geraniumlead_standins.history import CheckResult, History
from geraniumlead_standins.history.checks import check_all
from geraniumlead_standins.soak.callers import SoakCallers
from geraniumlead_standins.soak.chaos import Chaos
from geraniumlead_standins.soak.fleet import Fleet
from geraniumlead_standins.soak.layout import Layout
from geraniumlead_standins.soak.port_block import find_port_block
from geraniumlead_standins.soak.status_poller import StatusPoller

START_S = 4.0
SETTLE_S = 4.0
MAX_SHOWN_VIOLATIONS = 5


async def soak(
    layout: Layout, seed: int, duration_s: float, rate_per_s: float
) -> tuple[History, dict[str, int]]:
    """Run for ``duration_s``; return the history and how often each failure was injected."""
    documents = layout.write_files(seed)
    fleet = Fleet(layout)
    try:
        await fleet.start_dependencies()
        for name in layout.instances:
            await fleet.start_instance(name)
        await asyncio.sleep(START_S)
        chaos = Chaos(layout, fleet, Random(f"{seed}/chaos"), documents)
        callers = SoakCallers(layout, Random(f"{seed}/callers"))
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector, timeout=ClientTimeout(total=10)) as session:
            poller = StatusPoller(layout, fleet, chaos.published)
            polling = asyncio.create_task(poller.run(session))
            await asyncio.gather(
                callers.run(session, duration_s + SETTLE_S, rate_per_s),
                chaos.run(session, duration_s),
            )
            polling.cancel()
    finally:
        await fleet.kill_all()
    return History.from_files(sorted(layout.folder.glob("*.history"))), chaos.counts


def print_report(history: History, results: list[CheckResult], counts: dict[str, int]) -> None:
    """Print the injected failures, the outcomes that callers saw, and the violations."""
    outcomes = Counter(event.outcome for event in history.get_events("answered"))
    print(f"failures: {counts}")
    print(f"outcomes: {dict(outcomes)}")
    for result in results:
        print(
            f"{result.invariant}: {result.operations} operations, {len(result.violations)} broken"
        )
        for violation in result.violations[:MAX_SHOWN_VIOLATIONS]:
            print(f"  {violation.detail}")


def main() -> int:
    """Run the soak; return 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=600.0)
    parser.add_argument("--rate-per-s", type=float, default=25.0)
    parser.add_argument("--first-port", type=int, help="else a free block is found")
    parser.add_argument("--folder", type=Path, help="keep the files here")
    arguments = parser.parse_args()
    print(f"seed {arguments.seed}, {arguments.duration_s:.0f} s", flush=True)
    with TemporaryDirectory() as scratch:
        folder = arguments.folder or Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        layout = Layout(folder, arguments.first_port or find_port_block())
        history, counts = asyncio.run(
            soak(layout, arguments.seed, arguments.duration_s, arguments.rate_per_s)
        )
    results = check_all(history)
    print_report(history, results, counts)
    return 1 if any(result.violations for result in results) else 0


if __name__ == "__main__":
    sys.exit(main())
