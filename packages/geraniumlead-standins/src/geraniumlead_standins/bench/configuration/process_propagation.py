import asyncio
from pathlib import Path
from statistics import median
from time import monotonic

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec.json import decode, encode

from geraniumlead.documents import DocumentKind, document_key
from geraniumlead_standins.bench.configuration.propagation_row import PropagationRow
from geraniumlead_standins.demo.free_ports import find_base_port
from geraniumlead_standins.demo.process_manager import ProcessManager
from geraniumlead_standins.deployments import (
    AddressPlan,
    build_documents,
    build_instance_settings,
    van_dijk,
)

BOUND_S = 6.0
START_BOUND_S = 30.0
POLL_INTERVAL_S = 0.01
CHANGES = 10
PAUSE_BETWEEN_CHANGES_S = 0.3
OUTAGE_S = 8.0
PLATFORM = "platform"


class ProcessPropagation:
    """Measures how a change propagates to seven instances that run as real processes.

    It runs the platform's stand-in and the instances, publishes changes, and polls every
    instance for the revision that is in force.
    """

    def __init__(self, folder: Path, first_port: int) -> None:
        self._folder = folder
        deployment = van_dijk()
        needed = AddressPlan.from_base_port(deployment, 1).port_count
        base_port = find_base_port(first_port, needed)
        self._addresses = AddressPlan.from_base_port(deployment, base_port)
        self._documents = build_documents(deployment, self._addresses)
        self._settings = build_instance_settings(deployment, self._addresses)
        self._processes = ProcessManager(folder)
        self._alive = list(self._settings)
        self._change_count = 0

    async def measure(self) -> list[PropagationRow]:
        """Return one row per case; all processes are stopped even after an error."""
        timeout = ClientTimeout(total=2.0)
        async with ClientSession(timeout=timeout) as self._session:
            try:
                await self._start()
                return [
                    await self._measure_plain(),
                    await self._measure_after_outage(),
                    await self._measure_without_watchers(),
                ]
            finally:
                await self._processes.stop_all()

    async def _start(self) -> None:
        documents = self._folder / "documents.json"
        documents.write_bytes(encode(self._documents))
        await self._processes.start(
            PLATFORM,
            "geraniumlead_standins.platform",
            *("--listen", self._addresses.platform, "--documents", str(documents)),
        )
        for name, settings in self._settings.items():
            path = self._folder / f"{name}.json"
            path.write_bytes(encode(settings))
            await self._processes.start(name, "geraniumlead_server.main", "--settings", str(path))
        async with asyncio.timeout(START_BOUND_S):
            while not all([await self._is_ready(name) for name in self._alive]):
                await asyncio.sleep(0.1)

    async def _measure_plain(self) -> PropagationRow:
        times_s = []
        calls, started_s = await self._calls(), monotonic()
        for _ in range(CHANGES):
            times_s.append(await self._time_until_in_force(await self._publish()))
            await asyncio.sleep(PAUSE_BETWEEN_CHANGES_S)
        rate = (await self._calls() - calls) / (monotonic() - started_s)
        return self._row("nothing fails", times_s, rate)

    async def _measure_after_outage(self) -> PropagationRow:
        await self._put("/faults", {"down": True})
        revision = await self._publish()
        calls, started_s = await self._calls(), monotonic()
        await asyncio.sleep(OUTAGE_S)
        rate = (await self._calls() - calls) / (monotonic() - started_s)
        await self._put("/faults", {})
        times_s = [await self._time_until_in_force(revision)]
        return self._row("from the end of 8 s of a platform that was down", times_s, rate)

    async def _measure_without_watchers(self) -> PropagationRow:
        for name in list(self._alive):
            if name.startswith("noord") and (await self._status(name))["is_watcher"]:
                self._processes.kill(name)
                self._alive.remove(name)
        calls, started_s = await self._calls(), monotonic()
        times_s = [await self._time_until_in_force(await self._publish())]
        rate = (await self._calls() - calls) / (monotonic() - started_s)
        return self._row("both watchers of noord were just killed", times_s, rate)

    def _row(self, case: str, times_s: list[float], calls_per_s: float) -> PropagationRow:
        return PropagationRow(
            driver="processes",
            case=case,
            instances=len(self._alive),
            changes=len(times_s),
            median_ms=round(median(times_s) * 1_000.0, 1),
            slowest_ms=round(max(times_s) * 1_000.0, 1),
            late=sum(time_s > BOUND_S for time_s in times_s),
            platform_calls_per_s=round(calls_per_s, 2),
        )

    async def _publish(self) -> int:
        self._change_count += 1
        prefix = document_key(DocumentKind.CONTRACT, "")
        key = next(key for key in self._documents if key.startswith(prefix))
        document = decode(encode(self._documents[key])) | {
            "burst_requests": 100 + self._change_count
        }
        return (await self._put("/publish", {key: document}))["revision"]

    async def _time_until_in_force(self, revision: int) -> float:
        started_s = monotonic()
        waiting = set(self._alive)
        while waiting and monotonic() - started_s < 3 * BOUND_S:
            for name in list(waiting):
                if (await self._status(name))["revision"] >= revision:
                    waiting.discard(name)
            await asyncio.sleep(POLL_INTERVAL_S)
        return monotonic() - started_s

    async def _status(self, name: str) -> dict:
        operators = self._addresses.instances[name][1]
        async with self._session.get(f"http://{operators}/v1/status") as response:
            return decode(await response.read())

    async def _is_ready(self, name: str) -> bool:
        try:
            return (await self._status(name))["ready"]
        except (ClientError, TimeoutError, KeyError):
            return False

    async def _calls(self) -> int:
        async with self._session.get(f"http://{self._addresses.platform}/calls") as response:
            return decode(await response.read())["calls"]

    async def _put(self, path: str, body: dict) -> dict:
        address = f"http://{self._addresses.platform}{path}"
        async with self._session.put(address, data=encode(body)) as response:
            response.raise_for_status()
            return decode(await response.read())
