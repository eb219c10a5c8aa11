import time
from pathlib import Path

from msgspec.json import encode


class HistoryWriter:
    """Writes the events of one process to a file of JSON lines.

    Times are nanoseconds of the machine's monotonic clock. All processes of a run share that
    clock, so their lines can be sorted into one order. Without a path, nothing is written.
    """

    def __init__(self, path: Path | None, who: str) -> None:
        self._file = path.open("ab") if path is not None else None
        self._who = who

    def write(self, event: str, **fields) -> None:
        """Append one line and flush it, so that a killed process loses no events."""
        if self._file is None:
            return
        line = {"at_ns": time.monotonic_ns(), "who": self._who, "event": event, **fields}
        self._file.write(encode(line) + b"\n")
        self._file.flush()
