"""Read the JSON log lines that instances write."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from msgspec import DecodeError
from msgspec.json import Decoder

_DECODER = Decoder()


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of an instance's log, with its source and line number."""

    source: str
    number: int
    fields: dict[str, Any]

    @property
    def time(self) -> str:
        """Return the time at which the line was written, ISO 8601 in UTC."""
        return self.fields["time"]

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return self.fields["event"]

    @property
    def instance(self) -> str:
        """Return the instance that wrote the line, or the source if the line names none."""
        return str(self.fields.get("instance", self.source))


@dataclass(frozen=True, slots=True)
class SkippedLine:
    """The position of a line that is damaged or was not written by an instance."""

    source: str
    number: int


def read_log(source: str, lines: Iterable[bytes]) -> Iterator[LogLine | SkippedLine]:
    """Yield the lines of a log, ignoring text before the first brace of a line.

    Log collectors put times and names there.
    """
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        start = line.find(b"{")
        fields = _decode(line[start:]) if start >= 0 else None
        if fields is None:
            yield SkippedLine(source, number)
        else:
            yield LogLine(source, number, fields)


def _decode(text: bytes) -> dict[str, Any] | None:
    try:
        fields = _DECODER.decode(text)
    except (DecodeError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    is_instance_log = isinstance(fields.get("time"), str) and isinstance(fields.get("event"), str)
    return fields if is_instance_log else None
