"""Checks of one invariant each over a history; none depends on the system's internals.

The docstring of a check names the clock whose times it compares, and the allowance: how late an
event may be before it counts as a violation.
"""

from collections.abc import Callable

from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.checks.at_most_once import check_at_most_once
from geraniumlead_standins.history.checks.cold_load import check_cold_load
from geraniumlead_standins.history.checks.configuration import check_configuration
from geraniumlead_standins.history.checks.data_centre_out import check_data_centre_out
from geraniumlead_standins.history.checks.graceful_stop import check_graceful_stop
from geraniumlead_standins.history.checks.leaving_upstream import check_leaving_upstream
from geraniumlead_standins.history.checks.not_run import check_not_run
from geraniumlead_standins.history.checks.one_snapshot import check_one_snapshot
from geraniumlead_standins.history.checks.own_answer import check_own_answer
from geraniumlead_standins.history.checks.true_coverage import check_true_coverage
from geraniumlead_standins.history.history import History

CHECKS: dict[str, Callable[[History], CheckResult]] = {
    "one snapshot": check_one_snapshot,
    "true coverage": check_true_coverage,
    "cold load": check_cold_load,
    "data centre out": check_data_centre_out,
    "own answer": check_own_answer,
    "not run": check_not_run,
    "at most once": check_at_most_once,
    "leaving upstream": check_leaving_upstream,
    "graceful stop": check_graceful_stop,
    "configuration": check_configuration,
}


def check_all(history: History) -> list[CheckResult]:
    """Run every check on a history."""
    return [check(history) for check in CHECKS.values()]


__all__ = ["CHECKS", "check_all"]
