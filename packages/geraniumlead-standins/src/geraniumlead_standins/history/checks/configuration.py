from collections import defaultdict

from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.event import HistoryEvent
from geraniumlead_standins.history.history import History

IN_FORCE_ALLOWANCE_NS = 6_000_000_000
"""Time within which a publication must be in force on an instance that can learn of it."""


def check_configuration(history: History) -> CheckResult:
    """Check that published documents come into force in time and are never reverted.

    ``in_force`` events give, for one incarnation, the revision of each document that it
    acts on. A document is late if the instance was connected to the platform (see
    ``Reachability``) for ``IN_FORCE_ALLOWANCE_NS`` without a break and does not act on it. An
    incarnation that never reported anything is still starting and is not checked. A document
    is reverted if the same incarnation acts on a lower revision of it than before. Clock: the
    one that all lines share.
    """
    result = CheckResult("configuration")
    reports: dict[tuple[str, str], list[HistoryEvent]] = defaultdict(list)
    for event in history.get_events("in_force"):
        reports[event.who, event.incarnation].append(event)
    ends = _find_ends(history)
    for (instance, incarnation), reports_of_incarnation in reports.items():
        _find_reverts(result, instance, reports_of_incarnation)
        end_ns = ends.get((instance, incarnation), history.end_ns)
        for published in history.get_events("published"):
            first_ns = max(published.at_ns, reports_of_incarnation[0].at_ns)
            due_ns = history.reachability.find_informed_ns(
                instance, first_ns, IN_FORCE_ALLOWANCE_NS
            )
            if due_ns is None or due_ns > end_ns:
                continue
            result.operations += 1
            if not any(
                report.revisions.get(published.key, 0) >= published.revision
                for report in reports_of_incarnation
                if report.at_ns <= due_ns
            ):
                result.add(
                    due_ns, f"{instance}: {published.key} at {published.revision} not in force"
                )
    return result


def _find_reverts(
    result: CheckResult, instance: str, reports_of_incarnation: list[HistoryEvent]
) -> None:
    highest: dict[str, int] = {}
    for report in reports_of_incarnation:
        for key, revision in report.revisions.items():
            if revision < highest.get(key, 0):
                result.add(
                    report.at_ns, f"{instance}: {key} went from {highest[key]} to {revision}"
                )
            highest[key] = max(revision, highest.get(key, 0))


def _find_ends(history: History) -> dict[tuple[str, str], int]:
    return {
        (event.instance, event.incarnation): event.at_ns
        for event in history.get_events("process_killed", "process_stopped")
    }
