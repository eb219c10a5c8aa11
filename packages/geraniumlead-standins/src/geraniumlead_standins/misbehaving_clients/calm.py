"""Measure what ordinary requests cost and how long they take, in calm.

``python -m geraniumlead_standins.misbehaving_clients.calm`` prints a line a round: processor time
of all instances for each request, latencies and memory.
"""

import argparse
import asyncio

import psutil

from geraniumlead_standins.misbehaving_clients.deployment import MisbehavedDeployment
from geraniumlead_standins.misbehaving_clients.ordinary_traffic import OrdinaryTraffic

WARM_UP_S = 3.0
MILLISECONDS_PER_S = 1000.0


def read_cpu_s(deployment: MisbehavedDeployment) -> float:
    """Return the processor time that all instances have taken."""
    times = [psutil.Process(process.pid).cpu_times() for process in deployment.instances]
    return sum(found.user + found.system for found in times)


async def measure(rounds: int, seconds: float, requests_per_s: float) -> None:
    """Start a deployment for each round, and print how the requests fared."""
    for _ in range(rounds):
        deployment = MisbehavedDeployment()
        traffic = OrdinaryTraffic(deployment.addresses, requests_per_s)
        try:
            await deployment.start()
            await traffic.run(WARM_UP_S)
            began_s = read_cpu_s(deployment)
            fares = await traffic.run(seconds)
            cpu_ms = (read_cpu_s(deployment) - began_s) * MILLISECONDS_PER_S / fares.sent
        finally:
            await traffic.close()
            await deployment.stop()
        print(
            f"{cpu_ms:.2f} ms of a core a request, p50 {fares.percentile_ms(0.5):.1f} p99 "
            f"{fares.percentile_ms(0.99):.1f} ms, served {fares.served_share:.3f}, "
            f"{deployment.watch.peak_mb:.0f} MB",
            flush=True,
        )


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--requests-per-s", type=float, default=100.0)
    arguments = parser.parse_args()
    asyncio.run(measure(arguments.rounds, arguments.seconds, arguments.requests_per_s))


if __name__ == "__main__":
    main()
