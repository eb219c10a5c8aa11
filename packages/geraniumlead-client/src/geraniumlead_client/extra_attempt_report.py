"""Add up the extra attempts of all instances, and compare them with what is allowed together."""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from itertools import accumulate
from typing import Any

from geraniumlead_client.log_lines import LogLine, SkippedLine
from geraniumlead_client.shard_attempt_report import ShardAttemptReport

NOT_SENT = frozenset({"denied", "left"})
"""Fields of a service that are no counts of attempts that were sent."""

MILLISECONDS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class AllowedExtraAttempts:
    """What all instances may send together: a share of the requests in a window, and a slack."""

    share: float
    slack: float
    window_s: float


@dataclass(slots=True)
class ServiceWindow:
    """The window in which a service came nearest to what is allowed.

    ``used_share`` is 1.0 at the bound. ``causes`` and ``denied`` are counts over the whole log.
    """

    service: str
    sent: int
    requests: int
    allowed: float
    end: str
    used_share: float
    causes: dict[str, int]
    denied: int


@dataclass(slots=True)
class ExtraAttemptReport:
    """Collects the lines of all instances, in any order.

    A line covers half a second, so a window may hold the attempts of that much more time. Requests
    whose lines an instance has left out are missing, so less seems allowed than is.
    """

    skipped: list[SkippedLine] = field(default_factory=list)
    shards: ShardAttemptReport = field(default_factory=ShardAttemptReport)
    _sent: dict[str, list[tuple[float, int]]] = field(default_factory=lambda: defaultdict(list))
    _causes: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    _requests: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    _routes: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    _allowed: AllowedExtraAttempts | None = None

    def add(self, lines: Iterable[LogLine | SkippedLine]) -> None:
        """Add the lines of one log."""
        for line in lines:
            match line:
                case SkippedLine():
                    self.skipped.append(line)
                case LogLine(fields={"event": "extra_attempts"}):
                    self._add_attempts(line)
                case LogLine(fields={"event": "request"}):
                    self._add_request(line)
                    self.shards.add([line])

    def nearest(self) -> list[ServiceWindow]:
        """Return the worst window of each service, the nearest to the bound first."""
        if self._allowed is None:
            return []
        windows = [self._worst_window(service, self._allowed) for service in sorted(self._sent)]
        return sorted(windows, key=lambda window: -window.used_share)

    def _add_attempts(self, line: LogLine) -> None:
        fields = line.fields
        self._allowed = AllowedExtraAttempts(
            float(fields["allowed_share"]),
            float(fields["allowed_slack"]),
            float(fields["window_ms"]) / MILLISECONDS_PER_S,
        )
        at_s = _read_seconds(line)
        for service, counts in fields["services"].items():
            sent = sum(count for name, count in counts.items() if name not in NOT_SENT)
            self._sent[service].append((at_s, sent))
            self._causes[service].update(
                {name: count for name, count in counts.items() if name != "left"}
            )

    def _add_request(self, line: LogLine) -> None:
        fields = line.fields
        route = fields.get("route")
        if not isinstance(route, str):
            return
        for step in fields.get("steps", ()):
            self._routes[str(step.get("service"))].add(route)
        if not fields.get("is_delegated"):
            latency_s = float(fields.get("latency_ms", 0.0)) / MILLISECONDS_PER_S
            self._requests[route].append(_read_seconds(line) - latency_s)

    def _worst_window(self, service: str, allowed: AllowedExtraAttempts) -> ServiceWindow:
        sent = sorted(self._sent[service])
        times_s = [at_s for at_s, _ in sent]
        sums = [0, *accumulate(count for _, count in sent)]
        requests_s = sorted(
            at_s for route in self._routes[service] for at_s in self._requests[route]
        )
        causes = dict(self._causes[service])
        denied = causes.pop("denied", 0)
        worst = ServiceWindow(service, 0, 0, allowed.slack, "", 0.0, causes, denied)
        for position, end_s in enumerate(times_s):
            first = bisect_right(times_s, end_s - allowed.window_s)
            count = sums[position + 1] - sums[first]
            requests = _most_requests(requests_s, end_s, allowed.window_s)
            limit = allowed.share * requests + allowed.slack
            used_share = count / limit if limit else float(count)
            if used_share > worst.used_share:
                worst.sent, worst.requests, worst.allowed = count, requests, limit
                worst.end = datetime.fromtimestamp(end_s).astimezone().isoformat()
                worst.used_share = used_share
        return worst


def _most_requests(requests_s: Sequence[float], end_s: float, window_s: float) -> int:
    """Return the requests in the window, the one before or that half a window before, the most."""
    return max(
        bisect_right(requests_s, end_s - back_s)
        - bisect_left(requests_s, end_s - back_s - window_s)
        for back_s in (0.0, window_s / 2.0, window_s)
    )


def _read_seconds(line: LogLine) -> float:
    return datetime.fromisoformat(line.time).timestamp()


def build_row(window: ServiceWindow) -> list[Any]:
    """Return the cells of a table row for one service."""
    return [
        window.service,
        window.sent,
        window.requests,
        window.allowed,
        f"{window.used_share:.0%}",
        window.end,
        ", ".join(f"{name} {count}" for name, count in sorted(window.causes.items())),
        window.denied,
    ]
