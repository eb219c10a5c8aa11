"""Check a run by its histories."""

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from msgspec.json import decode

from geraniumlead_standins.load.sent_request import SentRequest

REMOVAL_GRACE_S = 3.0
"""The time after which a data centre that was taken out must receive no new subqueries."""

NANOSECONDS_PER_S = 1_000_000_000


@dataclass(slots=True)
class Verdict:
    """The counts of a run that are checked; ``violations`` is empty if all checks passed."""

    bookings_run: int = 0
    doubled_bookings: int = 0
    lost_bookings: int = 0
    ran_though_refused: int = 0
    work_while_out: int = 0
    unanswered: int = 0
    late: int = 0
    untrue_answers: int = 0
    subqueries: int = 0
    violations: list[str] = field(default_factory=list)


def read_lines(path: Path) -> list[dict]:
    """Return the complete lines of a history.

    A killed process may have left an incomplete last line.
    """
    if not path.exists():
        return []
    lines = []
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b"\n"):
            lines.append(decode(line))
    return lines


def evaluate_run(
    requests: list[SentRequest],
    upstream_lines: list[dict],
    moved_data_centre: str,
    moments_ns: dict[str, int],
) -> Verdict:
    """Check the bookings and answers of a run, and the data centre that was taken out."""
    verdict = Verdict()
    _check_bookings(verdict, requests, upstream_lines)
    _check_answers(verdict, requests)
    _check_removed_data_centre(verdict, upstream_lines, moved_data_centre, moments_ns)
    for name, description in (
        ("doubled_bookings", "bookings ran twice"),
        ("lost_bookings", "bookings were answered but did not run"),
        ("ran_though_refused", "bookings ran although their caller was told that they had not run"),
        ("work_while_out", "subqueries reached a data centre that was out"),
        ("unanswered", "requests got no answer"),
        ("late", "requests were answered after their deadline"),
        ("untrue_answers", "answers contradict themselves"),
    ):
        count = getattr(verdict, name)
        if count:
            verdict.violations.append(f"{count} {description}")
    return verdict


def _check_bookings(
    verdict: Verdict, requests: list[SentRequest], upstream_lines: list[dict]
) -> None:
    # Only bookings carry a token in their query.
    ran = Counter(
        line["token"] for line in upstream_lines if line["event"] == "ran" and line["token"]
    )
    verdict.bookings_run = len(ran)
    verdict.doubled_bookings = sum(count > 1 for count in ran.values())
    for sent in requests:
        if not sent.is_booking:
            continue
        if "whole" in sent.outcomes:
            verdict.lost_bookings += ran[sent.name] == 0
        elif sent.outcomes and set(sent.outcomes) == {"not_run"}:
            verdict.ran_though_refused += ran[sent.name] > 0


def _check_answers(verdict: Verdict, requests: list[SentRequest]) -> None:
    verdict.unanswered = sum(sent.outcome in ("unanswered", "malformed") for sent in requests)
    verdict.late = sum(sent.is_late for sent in requests)
    verdict.untrue_answers = sum(bool(sent.faults) for sent in requests)


def _check_removed_data_centre(
    verdict: Verdict, upstream_lines: list[dict], moved_data_centre: str, moments_ns: dict[str, int]
) -> None:
    received = [line for line in upstream_lines if line["event"] == "received"]
    verdict.subqueries = len(received)
    if "out" not in moments_ns:
        return
    removed_from_ns = moments_ns["out"] + REMOVAL_GRACE_S * NANOSECONDS_PER_S
    removed_until_ns = moments_ns.get("back", float("inf"))
    verdict.work_while_out = sum(
        line["who"].startswith(f"{moved_data_centre}-")
        and removed_from_ns < line["at_ns"] < removed_until_ns
        for line in received
    )
