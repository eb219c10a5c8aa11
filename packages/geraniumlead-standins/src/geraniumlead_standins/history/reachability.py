"""Work out from the faults of a history when an instance could hear of news."""

from collections import defaultdict
from collections.abc import Iterable

import networkx

from geraniumlead_standins.history.event import HistoryEvent

PLATFORM = "platform"
FOREVER_NS = 1 << 62

_CHANGES = {
    "process_started",
    "process_killed",
    "process_stopped",
    "frozen",
    "thawed",
    "cut",
    "healed",
    "losses_began",
    "losses_ended",
    "platform_down",
    "platform_stale",
    "platform_up",
}


class Reachability:
    """Know the intervals in which an instance was joined to the platform.

    Joined means: alive, not frozen, and linked to a platform that answers with news, by
    links that were open both ways, directly or through other instances that were alive.
    An instance is owed nothing outside these intervals: no protocol can tell it anything.
    """

    def __init__(self) -> None:
        self._joined: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._away: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._lossy: list[tuple[int, int]] = []

    @classmethod
    def from_events(cls, events: Iterable[HistoryEvent]) -> "Reachability":
        """Replay the faults."""
        found, state, since_ns = cls(), _Links(), 0
        for event in events:
            if event.event not in _CHANGES:
                continue
            found._note(state, since_ns, event.at_ns)
            state.apply(event)
            since_ns = event.at_ns
        found._note(state, since_ns, FOREVER_NS)
        return found

    def told_by_ns(self, instance: str, published_ns: int, needed_ns: int) -> int | None:
        """Return when the instance had been joined for ``needed_ns`` in one piece, or None."""
        for start_ns, end_ns in self._joined[instance]:
            told_ns = max(start_ns, published_ns) + needed_ns
            if told_ns <= end_ns:
                return told_ns
        return None

    def was_away(self, instance: str, start_ns: int, end_ns: int) -> bool:
        """Return whether the instance was frozen or not running at any time between."""
        return any(
            away_ns <= end_ns and back_ns >= start_ns for away_ns, back_ns in self._away[instance]
        )

    def had_losses(self, start_ns: int, end_ns: int) -> bool:
        """Return whether any link was cut or lost messages at any time between."""
        return any(from_ns <= end_ns and to_ns >= start_ns for from_ns, to_ns in self._lossy)

    def _note(self, state: "_Links", start_ns: int, end_ns: int) -> None:
        joined = state.find_joined()
        if state.cut or state.has_losses:
            _extend(self._lossy, start_ns, end_ns)
        for instance in state.running | state.known:
            if instance in joined:
                _extend(self._joined[instance], start_ns, end_ns)
            if instance not in state.running or instance in state.frozen:
                _extend(self._away[instance], start_ns, end_ns)


class _Links:
    """Follow who runs and which links are open."""

    def __init__(self) -> None:
        self.running: set[str] = set()
        self.known: set[str] = set()
        self.frozen: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.platform_gives_news = True
        self.has_losses = False

    def apply(self, event: HistoryEvent) -> None:
        match event.event:
            case "process_started":
                self.running.add(event.instance)
                self.known.add(event.instance)
                self.frozen.discard(event.instance)
            case "process_killed" | "process_stopped":
                self.running.discard(event.instance)
            case "frozen":
                self.frozen.add(event.instance)
            case "thawed":
                self.frozen.discard(event.instance)
            case "cut":
                self.cut |= set(event.pairs)
            case "healed":
                self.cut.clear()
            case "losses_began" | "losses_ended":
                self.has_losses = event.event == "losses_began"
            case "platform_down" | "platform_stale":
                self.platform_gives_news = False
            case "platform_up":
                self.platform_gives_news = True

    def find_joined(self) -> set[str]:
        if not self.platform_gives_news:
            # Some instance may have the news already, but the history cannot tell which.
            return set()
        ends = [*sorted(self.running - self.frozen), PLATFORM]
        graph = networkx.Graph()
        graph.add_nodes_from(ends)
        for place, one in enumerate(ends):
            for other in ends[place + 1 :]:
                if (one, other) not in self.cut and (other, one) not in self.cut:
                    graph.add_edge(one, other)
        return networkx.node_connected_component(graph, PLATFORM) - {PLATFORM}


def _extend(intervals: list[tuple[int, int]], start_ns: int, end_ns: int) -> None:
    if intervals and intervals[-1][1] == start_ns:
        intervals[-1] = (intervals[-1][0], end_ns)
    else:
        intervals.append((start_ns, end_ns))
