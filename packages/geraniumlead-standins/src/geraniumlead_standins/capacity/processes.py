"""Start and stop the processes of a measurement."""

import subprocess
import sys
import time
from pathlib import Path
from urllib.error import URLError
from urllib.request import urlopen

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0


class ProcessGroup:
    """The processes that one measurement started; only these are stopped at the end."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._processes: list[subprocess.Popen] = []

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *details) -> None:
        self.stop_all()

    def start_module(self, name: str, module: str, *arguments: str) -> subprocess.Popen:
        """Start a Python module; its output goes to a log file in the folder."""
        command = [sys.executable, "-m", module, *arguments]
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(command, stderr=log, stdout=log)
        self._processes.append(process)
        return process

    def stop_all(self) -> None:
        """Terminate every process, and kill those that have not stopped after 10 s."""
        for process in self._processes:
            if process.poll() is None:
                process.terminate()
        for process in self._processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._processes.clear()


def wait_until_ready(url: str) -> float:
    """Wait until a GET request returns 200; return the seconds that it took."""
    started = time.monotonic()
    while time.monotonic() - started < READY_TIMEOUT_S:
        try:
            with urlopen(url, timeout=1.0) as response:
                if response.status == 200:
                    return time.monotonic() - started
        except (URLError, OSError):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{url} was not ready after {READY_TIMEOUT_S} s")
