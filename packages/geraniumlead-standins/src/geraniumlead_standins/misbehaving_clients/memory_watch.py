"""Watch the memory of processes, and stop one that takes more than its machine has."""

import asyncio
from pathlib import Path

CHECK_INTERVAL_S = 0.05
KB_OF_A_MB = 1024


class MemoryWatch:
    """Records the peak of each process; kills a process over the limit, and names it."""

    def __init__(self, limit_mb: int) -> None:
        self._limit_mb = limit_mb
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._peaks_mb: dict[str, float] = {}
        self.killed: list[str] = []

    @property
    def peak_mb(self) -> float:
        """Return the largest memory of any process."""
        return max(self._peaks_mb.values(), default=0.0)

    def add(self, name: str, process: asyncio.subprocess.Process) -> None:
        """Watch one more process."""
        self._processes[name] = process

    async def run(self) -> None:
        """Check all processes until this is cancelled."""
        while True:
            for name, process in self._processes.items():
                if process.returncode is None and name not in self.killed:
                    self._check(name, process)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check(self, name: str, process: asyncio.subprocess.Process) -> None:
        resident_mb = read_resident_mb(process.pid)
        self._peaks_mb[name] = max(resident_mb, self._peaks_mb.get(name, 0.0))
        if resident_mb > self._limit_mb:
            self.killed.append(name)
            process.kill()


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except (FileNotFoundError, ProcessLookupError):
        return 0.0
    sizes = [line for line in lines if line.startswith("VmRSS")]
    return int(sizes[0].split()[1]) / KB_OF_A_MB if sizes else 0.0
