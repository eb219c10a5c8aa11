import asyncio
import os
import signal
import sys
from asyncio.subprocess import Process
from pathlib import Path

STOP_TIMEOUT_S = 12.0


class ProcessManager:
    """The named processes of one run; it stops or kills only processes that it started.

    Only development tools start processes; the daemon and the operators' command never do.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, Process] = {}
        self.killed: set[str] = set()

    async def start(self, name: str, module: str, *arguments: str) -> Process:
        """Run a module with this Python interpreter.

        Its output and its log are written to files named after the process.
        """
        with (
            (self._folder / f"{name}.out").open("wb") as output,
            (self._folder / f"{name}.log").open("wb") as log,
        ):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, *arguments, stdout=output, stderr=log
            )
        self._processes[name] = process
        return process

    def read_output(self, name: str) -> bytes:
        """Return the standard output of a process."""
        return (self._folder / f"{name}.out").read_bytes()

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self.killed.add(name)
        os.kill(self._processes[name].pid, signal.SIGKILL)

    def find_unexpected_exits(self) -> list[str]:
        """Return the names of processes that exited without having been killed by this run."""
        return [
            name
            for name, process in self._processes.items()
            if process.returncode is not None and name not in self.killed
        ]

    async def stop(self, names: list[str]) -> list[str]:
        """Terminate processes and wait; return the names of those that had to be killed."""
        for name in names:
            if self._processes[name].returncode is None:
                self._processes[name].terminate()
        killed_names = []
        for name in names:
            try:
                await asyncio.wait_for(self._processes[name].wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                killed_names.append(name)
                self._processes[name].kill()
                await self._processes[name].wait()
        return killed_names

    async def stop_all(self) -> list[str]:
        """Stop all processes that are still running."""
        return await self.stop(list(self._processes))

    def returncode(self, name: str) -> int | None:
        """Return the exit code of a process, or None while it runs."""
        return self._processes[name].returncode
