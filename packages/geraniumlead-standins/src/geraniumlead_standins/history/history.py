from collections import defaultdict
from collections.abc import Iterable
from functools import cached_property
from pathlib import Path

from msgspec.json import Decoder

from geraniumlead_standins.history.event import HistoryEvent
from geraniumlead_standins.history.reachability import Reachability

INDEX_PREFIX = "geraniumlead/indexes/"
UPSTREAM_LIST_PREFIX = "geraniumlead/upstreams/"

_DECODER = Decoder(HistoryEvent)


class History:
    """The events of a run in the order of their times, by kind, request and operation."""

    def __init__(self, events: Iterable[HistoryEvent]) -> None:
        self.events = sorted(events, key=lambda event: event.at_ns)
        self._by_name: dict[str, list[HistoryEvent]] = defaultdict(list)
        for event in self.events:
            self._by_name[event.event].append(event)

    @classmethod
    def from_files(cls, paths: Iterable[Path]) -> "History":
        """Read JSON lines; a last line that a killed process left incomplete is skipped."""
        events = []
        for path in paths:
            for line in path.read_bytes().splitlines(keepends=True):
                if line.endswith(b"\n"):
                    events.append(_DECODER.decode(line))
        return cls(events)

    def get_events(self, *names: str) -> list[HistoryEvent]:
        """Return the events with one of the given names, in order."""
        if len(names) == 1:
            return self._by_name.get(names[0], [])
        return [event for event in self.events if event.event in names]

    @cached_property
    def end_ns(self) -> int:
        """Return the time of the last event."""
        return self.events[-1].at_ns if self.events else 0

    @cached_property
    def sent_by_request(self) -> dict[str, HistoryEvent]:
        """Return the ``sent`` event of every request."""
        return {event.request_id: event for event in self.get_events("sent")}

    @cached_property
    def answers_by_request(self) -> dict[str, list[HistoryEvent]]:
        """Return the ``answered`` events of every request."""
        return _group(self.get_events("answered"), "request_id")

    @cached_property
    def runs_by_token(self) -> dict[str, list[HistoryEvent]]:
        """Return the ``ran`` events (finished runs) of every operation."""
        return _group(self.get_events("ran"), "token")

    @cached_property
    def starts_by_token(self) -> dict[str, list[HistoryEvent]]:
        """Return the ``started`` events of every operation."""
        return _group(self.get_events("started"), "token")

    @cached_property
    def shard_counts(self) -> dict[tuple[str, int], int]:
        """Return the number of shards of every published index version, by service and version."""
        counts = {}
        for event in self.get_events("published"):
            if event.key.startswith(INDEX_PREFIX) and event.value is not None:
                counts[event.value["service"], event.value["version"]] = len(event.value["shards"])
        return counts

    @cached_property
    def data_centre_by_upstream(self) -> dict[str, str]:
        """Return the data centre of every upstream that was ever listed."""
        data_centres = {}
        for event in self.get_events("published"):
            if event.key.startswith(UPSTREAM_LIST_PREFIX) and event.value is not None:
                for entry in event.value["upstreams"]:
                    data_centres[entry["upstream_id"]] = event.value["data_centre"]
        return data_centres

    @cached_property
    def reachability(self) -> Reachability:
        """Return when each instance was able to learn what was published."""
        return Reachability.from_events(self.events)


def _group(events: list[HistoryEvent], field: str) -> dict[str, list[HistoryEvent]]:
    groups: dict[str, list[HistoryEvent]] = defaultdict(list)
    for event in events:
        groups[getattr(event, field)].append(event)
    return groups
