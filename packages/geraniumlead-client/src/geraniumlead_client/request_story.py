"""Join what all instances logged of one request."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

from geraniumlead_client.log_lines import LogLine, SkippedLine

BELIEF_EVENTS = frozenset({"upstream_entered", "upstream_changed", "upstream_left"})
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
    "retry_after_ms",
    "missing",
)
BELIEF_FIELDS = ("ready", "cause", "in_data_centre")
OTHER_FIELDS_OF_EVENTS = ("peer", "path", "fingerprint")


@dataclass(frozen=True, slots=True)
class StoryStep:
    """Say what happened to a request when, at which instance, and by which inputs."""

    time: str
    instance: str
    what: str
    service: str | None = None
    upstream: str | None = None
    inputs: dict[str, Any] = field(default_factory=dict)


class RequestStory:
    """Collect the lines of one request, and what instances believed of its upstreams.

    Lines may come from all instances in any order; beliefs count for the instance that
    logged them, and only up to the request's own line there.
    """

    __slots__ = ("_beliefs", "_lines", "_request_id", "skipped")

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._lines: list[LogLine] = []
        self._beliefs: dict[tuple[str, str], list[LogLine]] = {}
        self.skipped: list[SkippedLine] = []

    def add(self, lines: Iterable[LogLine | SkippedLine]) -> None:
        """Take over the lines of one log."""
        for line in lines:
            match line:
                case SkippedLine():
                    self.skipped.append(line)
                case LogLine() if line.fields.get("request_id") == self._request_id:
                    self._lines.append(line)
                case LogLine() if line.event in BELIEF_EVENTS:
                    key = (line.instance, str(line.fields.get("upstream")))
                    self._beliefs.setdefault(key, []).append(line)

    @property
    def is_known(self) -> bool:
        """Return whether any instance logged the request."""
        return bool(self._lines)

    def steps(self) -> list[StoryStep]:
        """Return the whole story in the order of time."""
        found: list[StoryStep] = []
        for line in self._lines:
            found += self._steps_of(line)
        return sorted(found, key=lambda step: step.time)

    def _steps_of(self, line: LogLine) -> list[StoryStep]:
        fields = line.fields
        if line.event != "request":
            inputs = {name: fields[name] for name in OTHER_FIELDS_OF_EVENTS if name in fields}
            return [StoryStep(line.time, line.instance, line.event, inputs=inputs)]
        latency_ms = fields.get("latency_ms", 0.0)
        arrived = _shift(line.time, -latency_ms)
        found = [StoryStep(arrived, line.instance, "arrived")]
        for step in fields.get("steps", ()):
            upstream = step.get("upstream")
            inputs = self._belief_before(line.instance, upstream, line.time)
            at = _shift(arrived, step.get("at_ms", 0.0))
            what = step.get("what", "")
            found.append(StoryStep(at, line.instance, what, step.get("service"), upstream, inputs))
        inputs = {name: fields[name] for name in OUTCOME_FIELDS if name in fields}
        found.append(StoryStep(line.time, line.instance, "ended", inputs=inputs))
        return found

    def _belief_before(self, instance: str, upstream: str | None, time: str) -> dict[str, Any]:
        """Return the last that an instance learnt of an upstream, and how old that was."""
        if upstream is None:
            return {}
        lines = self._beliefs.get((instance, upstream), ())
        before = [line for line in lines if line.time <= time]
        if not before:
            return {}
        last = max(before, key=lambda line: line.time)
        age_s = (_parse(time) - _parse(last.time)).total_seconds()
        found = {"known": last.event, "age_s": round(age_s, 1)}
        return found | {name: last.fields[name] for name in BELIEF_FIELDS if name in last.fields}


def _parse(time: str) -> datetime:
    return datetime.fromisoformat(time)


def _shift(time: str, by_ms: float) -> str:
    return (_parse(time) + timedelta(milliseconds=by_ms)).isoformat(timespec="milliseconds")
