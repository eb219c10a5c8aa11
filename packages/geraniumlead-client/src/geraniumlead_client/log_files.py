"""Read the log files named on a command line."""

import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Protocol

from geraniumlead_client.log_lines import LogLine, SkippedLine, read_log
from geraniumlead_client.printing import print_error

STANDARD_INPUT = "-"


class LogConsumer(Protocol):
    """An object that accepts the lines of several logs, one log after the other."""

    def add(self, lines: Iterable[LogLine | SkippedLine]) -> None:
        """Add the lines of one log."""


def add_log_files(consumer: LogConsumer, names: Sequence[str]) -> list[str]:
    """Add each log to the consumer; return the names of those that could not be read."""
    return [name for name in names if not _add_file(consumer, name)]


def report_skipped(skipped: Sequence[SkippedLine]) -> None:
    """Print the number of skipped lines and the position of the first one."""
    if skipped:
        first = skipped[0]
        print_error(
            f"{len(skipped)} lines are damaged or of no instance, "
            f"the first: {first.source}:{first.number}"
        )


def _add_file(consumer: LogConsumer, name: str) -> bool:
    if name == STANDARD_INPUT:
        consumer.add(read_log("standard input", sys.stdin.buffer))
        return True
    try:
        with Path(name).open("rb") as file:
            consumer.add(read_log(name, file))
    except OSError as error:
        print_error(f"cannot read {name}: {error.strerror}")
        return False
    return True
