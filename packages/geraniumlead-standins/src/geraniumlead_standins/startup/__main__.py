"""Measure start time and memory: ``python -m geraniumlead_standins.startup``."""

import argparse
import asyncio
import time
from datetime import datetime
from pathlib import Path

import psutil
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from msgspec import Struct, structs
from msgspec.json import decode, encode

from geraniumlead.settings import LimitSettings
from geraniumlead_standins.demo.free_ports import find_base_port
from geraniumlead_standins.demo.process_manager import ProcessManager
from geraniumlead_standins.demo.run_cancellable import run_cancellable
from geraniumlead_standins.deployments import (
    AddressPlan,
    build_documents,
    build_instance_settings,
    build_upstream_plan,
)
from geraniumlead_standins.startup.small_deployment import (
    CLASS_NAME,
    CUSTOMER,
    build_small_deployment,
)

FOLDER = Path("var/startup")
FIRST_PORT = 27_600
SHARDS = 8
SLOTS = 600
SLOWDOWN = 1_500.0
QUEUE_FACTOR = 4
PEAK_OBSERVATION_S = 8.0
WARM_UP_REQUESTS = 3_000
WARM_UP_CONCURRENCY = 50
SETTLE_S = 8.0
BYTES_PER_MB = 1_000_000


class StartupMeasurements(Struct, kw_only=True):
    """The start times of an instance, and its memory when idle, warmed up and at peak load."""

    ready_s: list[float]
    idle_mb: float
    warmed_mb: float
    open_requests: int
    open_mb: float
    bytes_per_open_request: float


class StartupBenchmark:
    """A benchmark that starts an instance several times and sends load to the last one."""

    def __init__(self, folder: Path, requests: int, starts: int) -> None:
        self._folder = folder
        self._requests = requests
        self._starts = starts
        self._deployment = build_small_deployment(SHARDS, SLOTS, requests)
        needed = AddressPlan.from_base_port(self._deployment, 1).port_count
        base_port = find_base_port(FIRST_PORT, needed)
        self._addresses = AddressPlan.from_base_port(self._deployment, base_port)
        self._processes = ProcessManager(folder)

    async def run(self) -> StartupMeasurements:
        """Run the measurement and stop all processes."""
        try:
            await self._start_standins()
            ready_s = []
            for number in range(self._starts):
                if number:
                    await self._processes.stop(["instance"])
                ready_s.append(await self._start_instance())
            await asyncio.sleep(SETTLE_S)
            return await self._measure_memory(ready_s)
        finally:
            await self._processes.stop_all()

    async def _start_standins(self) -> None:
        documents = self._write("documents", build_documents(self._deployment, self._addresses))
        await self._processes.start(
            "platform",
            "geraniumlead_standins.platform",
            *("--listen", self._addresses.platform, "--documents", str(documents)),
        )
        plan = build_upstream_plan(self._deployment, self._addresses, "noord", 1, "/dev/null")
        path = self._write("upstreams", plan)
        await self._processes.start(
            "upstreams", "geraniumlead_standins.upstream", "--plan", str(path)
        )
        await asyncio.sleep(2.0)

    async def _start_instance(self) -> float:
        settings = build_instance_settings(self._deployment, self._addresses)["noord-1"]
        limits = LimitSettings(
            open_requests=2 * self._requests, queued_requests=QUEUE_FACTOR * self._requests
        )
        path = self._write("instance", structs.replace(settings, limits=limits))
        started_s = time.monotonic()
        self._process = await self._processes.start(
            "instance", "geraniumlead_server.main", "--settings", str(path)
        )
        async with ClientSession() as session:
            while not await self._is_ready(session):
                if "instance" in self._processes.find_unexpected_exits():
                    raise RuntimeError("the instance exited while starting; see its log")
                await asyncio.sleep(0.01)
        return time.monotonic() - started_s

    async def _is_ready(self, session: ClientSession) -> bool:
        try:
            async with session.get(f"http://{self._callers_address}/ready") as response:
                return response.status == 200
        except (ClientError, OSError):
            return False

    async def _measure_memory(self, ready_s: list[float]) -> StartupMeasurements:
        idle_mb = self._resident_mb()
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector, timeout=ClientTimeout(total=None)) as session:
            concurrency_limit = asyncio.Semaphore(WARM_UP_CONCURRENCY)
            await asyncio.gather(
                *(
                    self._send(session, number, concurrency_limit)
                    for number in range(WARM_UP_REQUESTS)
                )
            )
            warmed_mb = self._resident_mb()
            await self._slow_down(session)
            no_limit = asyncio.Semaphore(self._requests)
            tasks = [
                asyncio.create_task(self._send(session, number, no_limit))
                for number in range(self._requests)
            ]
            open_requests, open_mb = await self._observe_peak(session)
            for task in tasks:
                task.cancel()
        extra_bytes = (open_mb - warmed_mb) * BYTES_PER_MB
        return StartupMeasurements(
            ready_s=[round(value, 3) for value in ready_s],
            idle_mb=round(idle_mb, 1),
            warmed_mb=round(warmed_mb, 1),
            open_requests=open_requests,
            open_mb=round(open_mb, 1),
            bytes_per_open_request=round(extra_bytes / max(1, open_requests)),
        )

    async def _send(
        self, session: ClientSession, number: int, concurrency_limit: asyncio.Semaphore
    ) -> None:
        headers = {
            "Authorization": f"Bearer {self._deployment.credentials[CUSTOMER]}",
            "Content-Type": "application/json",
        }
        body = encode({"class": CLASS_NAME, "query": {"text": "x"}, "key": f"k{number}"})
        async with (
            concurrency_limit,
            session.post(
                f"http://{self._callers_address}/v1/queries", data=body, headers=headers
            ) as response,
        ):
            await response.read()

    async def _slow_down(self, session: ClientSession) -> None:
        faults = {name: {"slowdown": SLOWDOWN} for name in self._addresses.upstreams}
        control = self._addresses.controls["noord"]
        async with session.put(f"http://{control}/faults", data=encode(faults)) as response:
            response.raise_for_status()

    async def _observe_peak(self, session: ClientSession) -> tuple[int, float]:
        """Return the highest number of open and queued requests, and the memory at that time."""
        peak = (0, 0.0)
        end_s = time.monotonic() + PEAK_OBSERVATION_S
        while time.monotonic() < end_s:
            async with session.get(f"http://{self._operators_address}/v1/status") as response:
                status = decode(await response.read())
            count = status["open_requests"] + status["queued_requests"]
            peak = max(peak, (count, self._resident_mb()))
            await asyncio.sleep(0.2)
        return peak

    def _resident_mb(self) -> float:
        return psutil.Process(self._process.pid).memory_info().rss / BYTES_PER_MB

    @property
    def _callers_address(self) -> str:
        return self._addresses.instances["noord-1"][0]

    @property
    def _operators_address(self) -> str:
        return self._addresses.instances["noord-1"][1]

    def _write(self, name: str, value: object) -> Path:
        path = self._folder / f"{name}.json"
        path.write_bytes(encode(value))
        return path


def main() -> None:
    """Run the measurement and print its results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--starts", type=int, default=5)
    arguments = parser.parse_args()
    folder = FOLDER / datetime.now().strftime("%Y%m%d-%H%M%S-%f")
    folder.mkdir(parents=True)
    measurements = run_cancellable(
        StartupBenchmark(folder, arguments.requests, arguments.starts).run()
    )
    print(encode(measurements).decode())


if __name__ == "__main__":
    main()
