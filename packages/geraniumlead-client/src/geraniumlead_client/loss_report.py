"""Compute from the logs of all instances how much credit callers lost, and why."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from geraniumlead_client.crash_statistics import CrashStatistics
from geraniumlead_client.log_lines import LogLine, SkippedLine

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
DELEGATED_PREFIX = "for "
CALLER_DISCONNECTED = "caller_left"
NO_ROUTE = "no_route"

ANSWERED_IN_FULL = "in full"
MISSING_PREFIX = "shard missing: "
LATE_PREFIX = "late: "
REFUSED_PREFIX = "refused: "
FAILED_PREFIX = "failed: "

TIMESTAMP_LENGTH_TO_SECOND = 19
"""Length of a timestamp up to its seconds, ``YYYY-MM-DDThh:mm:ss``."""

HEDGE_STEP = "again: late"

LONG_WAIT_MS = 100.0
"""Wait from which a request is counted; shorter ones are those of a busy event loop."""


@dataclass(slots=True)
class LossRow:
    """The number of requests in a group and the credit they lost, at most 1 per request."""

    name: str
    asked: int = 0
    lost: float = 0.0

    def add(self, lost: float) -> None:
        """Add one request."""
        self.asked += 1
        self.lost += lost


@dataclass(slots=True)
class HedgeCounts:
    """The number of logged hedges, and of those whose upstream answered."""

    sent: int = 0
    answered: int = 0


@dataclass(slots=True)
class TimeCounts:
    """Requests that waited before they were read, and attempts that were handed too much time.

    Requests that peers delegated are counted as well. An overrun is an attempt that was handed
    more time than its caller still waits.
    """

    waited: int = 0
    longest_wait_ms: float = 0.0
    overruns: int = 0
    longest_overrun_ms: float = 0.0

    def add(self, fields: dict[str, Any]) -> None:
        """Add the line of one request."""
        waited_ms = _as_float(fields.get("waited_ms"))
        self.waited += waited_ms >= LONG_WAIT_MS
        self.longest_wait_ms = max(self.longest_wait_ms, waited_ms)
        self.overruns += _as_int(fields.get("overruns"))
        self.longest_overrun_ms = max(self.longest_overrun_ms, _as_float(fields.get("overrun_ms")))


@dataclass(slots=True)
class LossReport:
    """The credit that callers lost, in total and by group.

    A whole answer before its goal earns a credit of 1, and a partial answer the square of its
    coverage. An answer after its goal earns ``late_share`` of that, and a request that failed or
    was refused earns nothing. Requests whose caller disconnected, requests of peers and requests
    without a route are not counted. A refused request that is retried under a new id counts
    twice.
    """

    late_share: float
    causes: dict[str, LossRow] = field(default_factory=dict)
    seconds: dict[str, LossRow] = field(default_factory=dict)
    routes: dict[str, LossRow] = field(default_factory=dict)
    data_centres: dict[str, LossRow] = field(default_factory=dict)
    instances: dict[str, LossRow] = field(default_factory=dict)
    total: LossRow = field(default_factory=lambda: LossRow("all"))
    second_sendings: HedgeCounts = field(default_factory=HedgeCounts)
    times: TimeCounts = field(default_factory=TimeCounts)
    crashes: CrashStatistics = field(default_factory=CrashStatistics)
    not_logged: int = 0
    skipped: list[SkippedLine] = field(default_factory=list)

    def add(self, lines: Iterable[LogLine | SkippedLine]) -> None:
        """Add the lines of one log."""
        for line in lines:
            match line:
                case SkippedLine():
                    self.skipped.append(line)
                case LogLine():
                    self.not_logged += _as_int(line.fields.get("skipped_lines"))
                    self.crashes.add(line)
                    if line.event == "request":
                        self._add_request(line)

    def _add_request(self, line: LogLine) -> None:
        fields = line.fields
        self._count_hedges(fields)
        self.times.add(fields)
        reason = str(fields.get("reason", ""))
        if reason.startswith(DELEGATED_PREFIX) or reason in (CALLER_DISCONNECTED, NO_ROUTE):
            return
        credit = _compute_credit(fields, self.late_share)
        lost_by_cause = _split_by_cause(fields, 1.0 - credit, self.late_share)
        for cause, lost in lost_by_cause.items():
            _get_row(self.causes, cause).add(lost)
        names = (
            (self.seconds, line.time[:TIMESTAMP_LENGTH_TO_SECOND]),
            (self.routes, str(fields.get("route", "-"))),
            (self.data_centres, str(fields.get("data_centre", "-"))),
            (self.instances, line.instance),
        )
        for rows, name in names:
            _get_row(rows, name).add(1.0 - credit)
        self.total.add(1.0 - credit)

    def _count_hedges(self, fields: dict[str, Any]) -> None:
        steps = fields.get("steps") or ()
        upstreams = {
            (step.get("service"), step.get("upstream"))
            for step in steps
            if step.get("what") == HEDGE_STEP
        }
        answered = {
            (step.get("service"), step.get("upstream"))
            for step in steps
            if str(step.get("what", "")).startswith("answered")
        }
        self.second_sendings.sent += len(upstreams)
        self.second_sendings.answered += len(upstreams & answered)


def _get_row(rows: dict[str, LossRow], name: str) -> LossRow:
    return rows.setdefault(name, LossRow(name))


def _as_int(value: object) -> int:
    return value if isinstance(value, int) else 0


def _as_float(value: object) -> float:
    return float(value) if isinstance(value, int | float) else 0.0


def _get_coverage(fields: dict[str, Any]) -> float:
    """Return the answered share of the shards; 1 for a request to a single upstream."""
    subrequests = _as_int(fields.get("legs"))
    return _as_int(fields.get("answered")) / subrequests if subrequests > 1 else 1.0


def _is_late(fields: dict[str, Any]) -> bool:
    """Return whether the caller got its answer after its goal.

    The instance's own goal is earlier by a margin, which is added back here.
    """
    margin_ms = float(fields.get("margin_ms") or 0.0)
    return float(fields.get("goal_left_ms") or 0.0) + margin_ms < 0.0


def _compute_credit(fields: dict[str, Any], late_share: float) -> float:
    if fields.get("status") != HTTP_OK:
        return 0.0
    coverage_credit = _get_coverage(fields) ** 2
    return coverage_credit * (late_share if _is_late(fields) else 1.0)


def _split_by_cause(fields: dict[str, Any], lost: float, late_share: float) -> dict[str, float]:
    """Return the part of a request's loss that each cause accounts for."""
    status, reason = fields.get("status"), str(fields.get("reason", "-"))
    if status == HTTP_UNAVAILABLE:
        return {REFUSED_PREFIX + reason: lost}
    if status != HTTP_OK:
        return {FAILED_PREFIX + _strip_numbers(reason): lost}
    if lost <= 0.0:
        return {ANSWERED_IN_FULL: 0.0}
    if not _is_late(fields):
        return _split_by_missing_shard(fields, lost)
    # Missing shards account for late_share of what they would have cost before the goal, and
    # lateness for the rest, which is 1 - late_share.
    missing_loss = 1.0 - _get_coverage(fields) ** 2
    found = {LATE_PREFIX + _find_late_reason(fields): lost - missing_loss * late_share}
    if missing_loss:
        found |= _split_by_missing_shard(fields, missing_loss * late_share)
    return found


def _split_by_missing_shard(fields: dict[str, Any], lost: float) -> dict[str, float]:
    missing = fields.get("missing") or ["-"]
    reasons = Counter(_find_missing_reason(fields, service) for service in missing)
    return {
        MISSING_PREFIX + reason: lost * count / len(missing) for reason, count in reasons.items()
    }


def _find_missing_reason(fields: dict[str, Any], service: str) -> str:
    """Return why an answer lacks a shard, according to the shard's last logged step."""
    steps = [step for step in fields.get("steps") or () if step.get("service") == service]
    if not steps:
        return "cut short at the goal"
    what = str(steps[-1].get("what", ""))
    if what == HEDGE_STEP:
        return "both upstreams slow"
    if what.startswith("again"):
        return "second sending not back"
    return _strip_numbers(what)


def _find_late_reason(fields: dict[str, Any]) -> str:
    step_names = [str(step.get("what", "")) for step in fields.get("steps") or ()]
    if any(what.startswith(("peer", "again: peer")) for what in step_names):
        return "a peer was silent"
    if "waited for a place" in step_names:
        return "waited for a place"
    if any(
        what.startswith(("not reached", "lost", "status", "not executed")) for what in step_names
    ):
        return "upstreams failed"
    if HEDGE_STEP in step_names:
        return "slow upstreams, second sending too"
    return "slow upstream" if step_names else "own work or way"


def _strip_numbers(text: str) -> str:
    """Return a reason without its numbers, which differ between requests."""
    return " ".join(word for word in text.split() if not word.isdigit())
