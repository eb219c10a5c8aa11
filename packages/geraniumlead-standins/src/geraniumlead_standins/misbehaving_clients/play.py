"""Play clients that don't behave against a deployment, beside ordinary traffic."""

import asyncio
import sys
from collections import Counter
from dataclasses import dataclass

from msgspec.json import decode

from geraniumlead_standins.misbehaving_clients.deployment import (
    INSTANCES,
    PACKAGE,
    MisbehavedDeployment,
)
from geraniumlead_standins.misbehaving_clients.ordinary_traffic import Fares, OrdinaryTraffic

WARM_UP_S = 1.0
SETTLE_S = 1.0
"""From the end of the clients that don't behave to the traffic that must be served as in calm."""

AFTER_S = 2.0
PROCESSES = 4
READY_CHECK_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that don't behave in one way."""

    behaviour: str
    clients: int


@dataclass(frozen=True, slots=True)
class PlayResult:
    """How instances and ordinary requests fared beside clients that don't behave, and after."""

    peak_mb: float
    ended: list[str]
    before: Fares
    beside: Fares
    after: Fares
    ready_misses: int
    longest_ready_gap: int
    outcomes: dict[str, int]

    def describe(self) -> str:
        """Return the figures in a row of a table."""
        return (
            f"{self.peak_mb:4.0f} MB{' KILLED' if self.ended else ''} | beside "
            f"{self.beside.served_share:.3f} (p50 {self.beside.percentile_ms(0.5):.0f} "
            f"p99 {self.beside.percentile_ms(0.99):.0f} ms) | after "
            f"{self.after.served_share:.3f} (p99 {self.after.percentile_ms(0.99):.0f} ms) | ready "
            f"missed {self.ready_misses} (in a row {self.longest_ready_gap}) | {self.outcomes} "
            f"{dict(Counter(self.beside.failures).most_common(4))}"
        )


async def play(
    deployment: MisbehavedDeployment, crowds: list[Crowd], seconds: float, seed: int = 1
) -> PlayResult:
    """Send ordinary traffic before, beside and after the crowds."""
    traffic = OrdinaryTraffic(deployment.addresses)
    try:
        before = await traffic.run(WARM_UP_S)
        checking = asyncio.create_task(_check_ready(deployment))
        playing = asyncio.create_task(_play_crowds(deployment, crowds, seconds, seed))
        beside = await traffic.run(seconds)
        outcomes = await playing
        checking.cancel()
        misses, longest_gap = await checking
        await asyncio.sleep(SETTLE_S)
        after = await traffic.run(AFTER_S)
    finally:
        await traffic.close()
    ended = [
        f"entry-{number}"
        for number, process in enumerate(deployment.instances)
        if process.returncode is not None or f"entry-{number}" in deployment.watch.killed
    ]
    return PlayResult(
        deployment.watch.peak_mb, ended, before, beside, after, misses, longest_gap, outcomes
    )


async def _check_ready(deployment: MisbehavedDeployment) -> tuple[int, int]:
    """Ask all instances each second whether they are ready.

    Return how many answers were missed, and the most in a row of one instance: the balancer takes
    an instance out after two.
    """
    misses = longest = 0
    in_a_row = [0] * INSTANCES
    try:
        while True:
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
            checks = [deployment.is_ready(number) for number in range(INSTANCES)]
            for number, is_ready in enumerate(await asyncio.gather(*checks)):
                in_a_row[number] = 0 if is_ready else in_a_row[number] + 1
                misses += not is_ready
                longest = max(longest, in_a_row[number])
    except asyncio.CancelledError:
        return misses, longest


async def _play_crowds(
    deployment: MisbehavedDeployment, crowds: list[Crowd], seconds: float, seed: int
) -> dict[str, int]:
    """Play each crowd in some processes; return what their clients were answered."""
    processes = max(1, PROCESSES // len(crowds))
    shares = [
        _play_share(
            deployment.addresses, crowd.behaviour, crowd.clients // processes, seconds, seed + index
        )
        for crowd in crowds
        for index in range(processes)
    ]
    outcomes: Counter[str] = Counter()
    for answered in await asyncio.gather(*shares):
        outcomes.update(answered)
    return dict(outcomes)


async def _play_share(
    addresses: list[str], behaviour: str, clients: int, seconds: float, seed: int
) -> dict[str, int]:
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", PACKAGE, behaviour),
        *("--clients", str(clients), "--seconds", str(seconds), "--seed", str(seed)),
        *("--addresses", *addresses),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return decode(output) if output else {"not played": clients}
