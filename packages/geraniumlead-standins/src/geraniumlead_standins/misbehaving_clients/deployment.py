"""Run two instances as processes, with a store and upstreams in a process of their own."""

import asyncio
import resource
import signal
import sys
import tempfile
import time
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec.json import decode, encode

from geraniumlead_standins.misbehaving_clients.memory_watch import MemoryWatch
from geraniumlead_standins.testing.free_ports import find_free_port

INSTANCES = 2
MEMORY_MB = 300
DESCRIPTORS = 4_100
START_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 2.0
STOP_S = 6
PACKAGE = "geraniumlead_standins.misbehaving_clients"


class MisbehavedDeployment:
    """Two instances, started as the deploy file does, each with the limits of its machine.

    ``watch`` kills an instance that takes more memory than its machine has.
    """

    def __init__(self, bounds: dict | None = None) -> None:
        self._bounds = bounds or {}
        self._folder = tempfile.TemporaryDirectory()
        self._services: asyncio.subprocess.Process | None = None
        self._session: ClientSession | None = None
        self._watching: asyncio.Task | None = None
        self.instances: list[asyncio.subprocess.Process] = []
        self.watch = MemoryWatch(MEMORY_MB)
        self._listen = [
            {
                name: f"127.0.0.1:{find_free_port()}"
                for name in ("callers", "ready", "peers", "metrics")
            }
            for _ in range(INSTANCES)
        ]

    @property
    def addresses(self) -> list[str]:
        """Return the callers' address of each instance."""
        return [listen["callers"] for listen in self._listen]

    async def start(self) -> "MisbehavedDeployment":
        """Start everything and wait until both instances are ready."""
        self._session = ClientSession(timeout=ClientTimeout(total=READY_TIMEOUT_S))
        self._services = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", f"{PACKAGE}.services"),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        store = (await self._services.stdout.readline()).decode().strip()
        for number in range(INSTANCES):
            await self._start_instance(number, store)
        self._watching = asyncio.create_task(self.watch.run())
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all([await self.is_ready(number) for number in range(INSTANCES)]):
                await asyncio.sleep(0.1)
        return self

    async def _start_instance(self, number: int, store: str) -> None:
        path = Path(self._folder.name) / f"{number}.json"
        path.write_bytes(encode(self._build_settings(number, store)))
        with self.log_path(number).open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "geraniumlead_server.platform_main"),
                *("--settings", str(path)),
                stdout=log,
                stderr=log,
            )
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
        self.instances.append(process)
        self.watch.add(f"entry-{number}", process)

    def _build_settings(self, number: int, store: str) -> dict:
        return {
            "instance_id": f"entry-{number}",
            "data_centre": "noord-a",
            "data_centres": {"noord-a": "noord"},
            "listen": self._listen[number],
            "store": store,
            "seeds": [listen["peers"] for listen in self._listen],
            "bounds": {
                "drain_ms": 4000,
                "configuration_ms": 4000,
                "evacuation_ms": 5000,
                "stop_s": STOP_S,
                "extra_share": 0.2,
                "extra_slack": 54,
                "extra_window_s": 10,
                "cold_factor": 1.5,
                "cold_slack": 5,
            }
            | self._bounds,
        }

    def log_path(self, number: int) -> Path:
        """Return the file to which an instance logs."""
        return Path(self._folder.name) / f"{number}.log"

    def read_log(self, number: int) -> list[dict]:
        """Return the lines that an instance has logged."""
        return [decode(line) for line in self.log_path(number).read_bytes().splitlines()]

    def publish_limits(self, **limits: int) -> None:
        """Publish a configuration with other limits on callers' requests."""
        self._services.stdin.write(encode(limits) + b"\n")

    async def is_ready(self, number: int) -> bool:
        """Return whether an instance says that it is ready, within the balancer's patience."""
        try:
            url = f"http://{self._listen[number]['ready']}/-/readyz"
            async with self._session.get(url) as answer:
                return answer.status == 200
        except (ClientError, OSError, TimeoutError):
            return False

    async def read_metrics(self, number: int) -> str:
        """Return the metrics page of an instance."""
        async with self._session.get(f"http://{self._listen[number]['metrics']}/metrics") as page:
            return await page.text()

    async def terminate(self, number: int) -> tuple[int, float]:
        """Send SIGTERM to an instance; return its exit code and the seconds until it ended."""
        began_s = time.monotonic()
        self.instances[number].send_signal(signal.SIGTERM)
        code = await self.instances[number].wait()
        return code, time.monotonic() - began_s

    async def stop(self) -> None:
        """End all processes that were started here."""
        if self._watching is not None:
            self._watching.cancel()
        processes = [*self.instances, *([self._services] if self._services else [])]
        for process in processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        if self._session is not None:
            await self._session.close()
        self._folder.cleanup()
