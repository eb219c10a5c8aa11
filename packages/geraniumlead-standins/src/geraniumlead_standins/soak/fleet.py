import asyncio
import signal
import sys
from asyncio.subprocess import Process

from geraniumlead_standins.history import HistoryWriter
from geraniumlead_standins.soak.layout import DATA_CENTRES, Layout

STOP_TIMEOUT_S = 35.0
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


class Fleet:
    """The processes of a soak; starts, stops, freezes and kills them and records each change.

    Only processes that this object started are ended.
    """

    def __init__(self, layout: Layout) -> None:
        self._layout = layout
        self.history = HistoryWriter(layout.history_file("faults"), "faults")
        self._dependencies: list[Process] = []
        self._instances: dict[str, Process] = {}
        self._start_counts: dict[str, int] = {}
        self._frozen: set[str] = set()

    async def start_dependencies(self) -> None:
        """Start the platform and the upstreams."""
        folder = self._layout.folder
        documents = str(folder / "documents.json")
        platform = ("--listen", self._layout.platform, "--documents", documents)
        self._dependencies.append(await self._start("platform", "platform", *platform))
        for data_centre in DATA_CENTRES:
            plan = str(folder / f"upstreams-{data_centre}.json")
            self._dependencies.append(
                await self._start(f"up-{data_centre}", "upstream", "--plan", plan)
            )

    async def start_instance(self, name: str) -> None:
        """Start or restart an instance, and wait until it listens."""
        settings = str(self._layout.folder / f"{name}.json")
        self._instances[name] = await self._run(
            name, "-m", "geraniumlead_server.main", "--settings", settings
        )
        self._start_counts[name] = self._start_counts.get(name, 0) + 1
        # Until the process listens, callers get a refused connection, so no answer is due yet.
        await self._wait_until_listening(self._layout.address_of(name, 0))
        self._record(name, "process_started")

    async def _wait_until_listening(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
                writer.close()
                return

    def incarnation_of(self, name: str) -> str:
        """Return the number of starts of an instance, as the incarnation that is running."""
        return str(self._start_counts.get(name, 0))

    async def kill(self, name: str) -> None:
        """Kill an instance without notice."""
        self._instances[name].kill()
        self._record(name, "process_killed")
        await self._instances[name].wait()

    async def freeze(self, name: str, duration_s: float) -> None:
        """Suspend an instance for ``duration_s``."""
        self._record(name, "frozen")
        self._instances[name].send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self._instances[name].send_signal(signal.SIGCONT)
        self._record(name, "thawed")

    async def stop(self, name: str) -> None:
        """Request a graceful stop of an instance and wait; kill it after ``STOP_TIMEOUT_S``."""
        self._record(name, "stop_asked")
        self._instances[name].terminate()
        try:
            await asyncio.wait_for(self._instances[name].wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            await self.kill(name)
            return
        self._record(name, "process_stopped")

    async def kill_all(self) -> None:
        """Kill all processes that are still running."""
        for process in (*self._instances.values(), *self._dependencies):
            if process.returncode is None:
                process.kill()
                await process.wait()

    def _record(self, name: str, event: str) -> None:
        self.history.write(event, instance=name, incarnation=self.incarnation_of(name))

    async def _start(self, name: str, module: str, *arguments: str) -> Process:
        return await self._run(name, "-m", f"geraniumlead_standins.{module}", *arguments)

    async def _run(self, name: str, *arguments: str) -> Process:
        with (self._layout.folder / f"{name}.log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=log, stderr=log
            )
