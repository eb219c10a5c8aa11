"""Read the JSON lines that instances write."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from msgspec import DecodeError
from msgspec.json import Decoder

_DECODER = Decoder()


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line of a log: where it was read, and its fields."""

    source: str
    number: int
    fields: dict[str, Any]

    @property
    def time(self) -> str:
        """Return when it was written, ISO 8601 in UTC."""
        return self.fields["time"]

    @property
    def event(self) -> str:
        """Return what happened."""
        return self.fields["event"]

    @property
    def instance(self) -> str:
        """Return which instance wrote it."""
        return str(self.fields.get("instance", self.source))


@dataclass(frozen=True, slots=True)
class SkippedLine:
    """Name a line that is not one of an instance's log, or is damaged."""

    source: str
    number: int


def read_log(source: str, lines: Iterable[bytes]) -> Iterator[LogLine | SkippedLine]:
    """Read a log; what stands before the first brace of a line is left out.

    Collectors of logs put times and names there.
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
    is_own = isinstance(fields.get("time"), str) and isinstance(fields.get("event"), str)
    return fields if is_own else None
