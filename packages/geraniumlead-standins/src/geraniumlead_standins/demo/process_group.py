"""Start processes and end exactly those."""

import asyncio
import os
import signal
import sys
from asyncio.subprocess import Process
from pathlib import Path

STOP_BOUND_S = 12.0


class ProcessGroup:
    """Hold the processes that this run started, by name.

    Only the demo, a tool of development, starts processes; the daemon and the operators'
    command never do.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, Process] = {}
        self.killed: set[str] = set()

    async def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start a module of this Python; what it prints goes to a file of its name."""
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
        """Return what a process printed."""
        return (self._folder / f"{name}.out").read_bytes()

    def kill(self, name: str) -> None:
        """End a process without notice."""
        self.killed.add(name)
        os.kill(self._processes[name].pid, signal.SIGKILL)

    def find_ended(self) -> list[str]:
        """Return the names of processes that ended though nobody killed them."""
        return [
            name
            for name, process in self._processes.items()
            if process.returncode is not None and name not in self.killed
        ]

    async def stop(self, names: list[str]) -> list[str]:
        """Ask processes to stop and wait; return those that had to be killed."""
        for name in names:
            if self._processes[name].returncode is None:
                self._processes[name].terminate()
        stuck = []
        for name in names:
            try:
                await asyncio.wait_for(self._processes[name].wait(), STOP_BOUND_S)
            except TimeoutError:
                stuck.append(name)
                self._processes[name].kill()
                await self._processes[name].wait()
        return stuck

    async def stop_all(self) -> list[str]:
        """Stop everything that still runs."""
        return await self.stop(list(self._processes))

    def returncode(self, name: str) -> int | None:
        """Return how a process ended."""
        return self._processes[name].returncode
