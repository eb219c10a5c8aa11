from collections import defaultdict
from collections.abc import Iterable

import networkx

from geraniumlead_standins.history.event import HistoryEvent

PLATFORM = "platform"
FOREVER_NS = 1 << 62

_FAULT_EVENTS = {
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
    """The intervals in which each instance was connected to the platform.

    Connected means: the instance is alive and not frozen, the platform serves its newest
    state, and links that are open in both directions lead to the platform, directly or
    through other instances that are alive and not frozen. The checks require nothing of an
    instance outside these intervals, as no protocol could inform it there.
    """

    def __init__(self) -> None:
        self._connected: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._unavailable: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._loss_intervals: list[tuple[int, int]] = []

    @classmethod
    def from_events(cls, events: Iterable[HistoryEvent]) -> "Reachability":
        """Compute the intervals by replaying the fault events of a history."""
        found, state, since_ns = cls(), _FaultState(), 0
        for event in events:
            if event.event not in _FAULT_EVENTS:
                continue
            found._record_interval(state, since_ns, event.at_ns)
            state.apply(event)
            since_ns = event.at_ns
        found._record_interval(state, since_ns, FOREVER_NS)
        return found

    def find_informed_ns(self, instance: str, published_ns: int, duration_ns: int) -> int | None:
        """Return when the instance must have learned what was published at ``published_ns``.

        This is the end of the first interval of ``duration_ns`` after the publication in which
        the instance was connected without a break, or None if there is none.
        """
        for start_ns, end_ns in self._connected[instance]:
            informed_ns = max(start_ns, published_ns) + duration_ns
            if informed_ns <= end_ns:
                return informed_ns
        return None

    def was_unavailable(self, instance: str, start_ns: int, end_ns: int) -> bool:
        """Return whether the instance was frozen or not running at any time in the interval."""
        return any(
            from_ns <= end_ns and to_ns >= start_ns
            for from_ns, to_ns in self._unavailable[instance]
        )

    def had_message_loss(self, start_ns: int, end_ns: int) -> bool:
        """Return whether any link was cut or lost messages at any time in the interval."""
        return any(
            from_ns <= end_ns and to_ns >= start_ns for from_ns, to_ns in self._loss_intervals
        )

    def _record_interval(self, state: "_FaultState", start_ns: int, end_ns: int) -> None:
        connected = state.find_connected()
        if state.cut or state.has_losses:
            _extend(self._loss_intervals, start_ns, end_ns)
        for instance in state.running | state.known:
            if instance in connected:
                _extend(self._connected[instance], start_ns, end_ns)
            if instance not in state.running or instance in state.frozen:
                _extend(self._unavailable[instance], start_ns, end_ns)


class _FaultState:
    """The instances that run and the links that are open, as the fault events say."""

    def __init__(self) -> None:
        self.running: set[str] = set()
        self.known: set[str] = set()
        self.frozen: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.platform_serves_updates = True
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
                self.platform_serves_updates = False
            case "platform_up":
                self.platform_serves_updates = True

    def find_connected(self) -> set[str]:
        if not self.platform_serves_updates:
            # Some instances may have the newest state already, but the history cannot tell which.
            return set()
        ends = [*sorted(self.running - self.frozen), PLATFORM]
        graph = networkx.Graph()
        graph.add_nodes_from(ends)
        for index, end in enumerate(ends):
            for other in ends[index + 1 :]:
                if (end, other) not in self.cut and (other, end) not in self.cut:
                    graph.add_edge(end, other)
        return networkx.node_connected_component(graph, PLATFORM) - {PLATFORM}


def _extend(intervals: list[tuple[int, int]], start_ns: int, end_ns: int) -> None:
    if intervals and intervals[-1][1] == start_ns:
        intervals[-1] = (intervals[-1][0], end_ns)
    else:
        intervals.append((start_ns, end_ns))
