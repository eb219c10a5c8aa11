from collections.abc import Callable

from geraniumlead_standins.history.event import HistoryEvent

NS_PER_MS = 1_000_000


class MemoryRecorder:
    """Records the events of a virtual run in memory, in the format of history files."""

    __slots__ = ("_now_ms", "events")

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        self.events: list[HistoryEvent] = []

    def record(self, who: str, event: str, **fields) -> None:
        """Append an event at the current virtual time."""
        at_ns = int(self._now_ms() * NS_PER_MS)
        self.events.append(HistoryEvent(at_ns=at_ns, who=who, event=event, **fields))
