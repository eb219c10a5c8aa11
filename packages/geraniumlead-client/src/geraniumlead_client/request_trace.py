"""Join the log lines of all instances about one request."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

from geraniumlead_client.crash_statistics import CRASH_EVENTS
from geraniumlead_client.log_lines import LogLine, SkippedLine

OBSERVATION_EVENTS = frozenset({"upstream_entered", "upstream_changed", "upstream_left"})
OUTCOME_FIELDS = (
    "reason",
    "status",
    "route",
    "version",
    "legs",
    "answered",
    "extra",
    "latency_ms",
    "goal_left_ms",
    "waited_ms",
    "left_ms",
    "handed_ms",
    "overruns",
    "overrun_ms",
    "retry_after_ms",
    "missing",
    "fingerprint",
    "strikes",
    "struck_before_ms",
    "told_by",
)
OBSERVATION_FIELDS = ("ready", "cause", "in_data_centre")
OTHER_EVENT_FIELDS = (
    "peer",
    "peers",
    "path",
    "fingerprint",
    "service",
    "upstream",
    "cause",
    "strikes",
    "strikes_before",
)


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One event of a request, with its time, its instance and the inputs of the decision."""

    time: str
    instance: str
    what: str
    service: str | None = None
    upstream: str | None = None
    inputs: dict[str, Any] = field(default_factory=dict)


class RequestTrace:
    """The log lines of one request, and the states that instances observed of its upstreams.

    Lines may come from all instances in any order. An observed state applies only to the
    instance that logged it, and only if it was logged no later than the request there.
    """

    __slots__ = ("_crash_lines", "_lines", "_observations", "_request_id", "skipped")

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._lines: list[LogLine] = []
        self._crash_lines: list[LogLine] = []
        self._observations: dict[tuple[str, str], list[LogLine]] = {}
        self.skipped: list[SkippedLine] = []

    def add(self, lines: Iterable[LogLine | SkippedLine]) -> None:
        """Add the lines of one log."""
        for line in lines:
            match line:
                case SkippedLine():
                    self.skipped.append(line)
                case LogLine() if line.fields.get("request_id") == self._request_id:
                    self._lines.append(line)
                case LogLine() if line.event in CRASH_EVENTS:
                    self._crash_lines.append(line)
                case LogLine() if line.event in OBSERVATION_EVENTS:
                    key = (line.instance, str(line.fields.get("upstream")))
                    self._observations.setdefault(key, []).append(line)

    @property
    def is_known(self) -> bool:
        """Return whether any instance logged the request."""
        return bool(self._lines)

    def steps(self) -> list[TraceStep]:
        """Return all steps in chronological order."""
        found: list[TraceStep] = []
        for line in self._lines + self._crash_lines_of_repeats():
            found += self._build_steps(line)
        return sorted(found, key=lambda step: step.time)

    def _crash_lines_of_repeats(self) -> list[LogLine]:
        """Return what instances knew and told of the same request, joined by its fingerprint."""
        fingerprints = {line.fields.get("fingerprint") for line in self._lines} - {None}
        return [
            line for line in self._crash_lines if line.fields.get("fingerprint") in fingerprints
        ]

    def _build_steps(self, line: LogLine) -> list[TraceStep]:
        fields = line.fields
        if line.event != "request":
            inputs = {name: fields[name] for name in OTHER_EVENT_FIELDS if name in fields}
            return [TraceStep(line.time, line.instance, line.event, inputs=inputs)]
        latency_ms = fields.get("latency_ms", 0.0)
        arrived = _shift(line.time, -latency_ms)
        found = [TraceStep(arrived, line.instance, "arrived")]
        for step in fields.get("steps", ()):
            upstream = step.get("upstream")
            inputs = self._observed_state_before(line.instance, upstream, line.time)
            at = _shift(arrived, step.get("at_ms", 0.0))
            what = step.get("what", "")
            found.append(TraceStep(at, line.instance, what, step.get("service"), upstream, inputs))
        inputs = {name: fields[name] for name in OUTCOME_FIELDS if name in fields}
        found.append(TraceStep(line.time, line.instance, "ended", inputs=inputs))
        return found

    def _observed_state_before(
        self, instance: str, upstream: str | None, time: str
    ) -> dict[str, Any]:
        """Return the last state that an instance observed of an upstream, and its age."""
        if upstream is None:
            return {}
        lines = self._observations.get((instance, upstream), ())
        before = [line for line in lines if line.time <= time]
        if not before:
            return {}
        last = max(before, key=lambda line: line.time)
        age_s = (_parse(time) - _parse(last.time)).total_seconds()
        found = {"known": last.event, "age_s": round(age_s, 1)}
        return found | {
            name: last.fields[name] for name in OBSERVATION_FIELDS if name in last.fields
        }


def _parse(time: str) -> datetime:
    return datetime.fromisoformat(time)


def _shift(time: str, offset_ms: float) -> str:
    return (_parse(time) + timedelta(milliseconds=offset_ms)).isoformat(timespec="milliseconds")
