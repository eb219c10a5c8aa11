"""Check that a refusal that says "not run" means that the request did not run."""

from collections import defaultdict

from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.event import HistoryEvent
from geraniumlead_standins.history.history import History


def check_not_run(history: History) -> CheckResult:
    """Look for a refused request that an upstream began to run.

    An idempotent attempt that was refused may never begin, before or after. A booking's
    attempts share one ticket, so a refusal says that none of them began until it came; a
    later attempt may. Clock: the one that all lines share. Allowance: none.
    """
    result = CheckResult("not run")
    starts_of_request = _group_by_caller_id(history)
    for answer in history.get_events("answered"):
        sent = history.sent_by_request.get(answer.request_id)
        if answer.outcome != "not_run" or sent is None:
            continue
        result.operations += 1
        if sent.idempotent:
            begun = starts_of_request.get(answer.request_id, [])
        else:
            begun = [
                start
                for start in history.starts_by_token.get(sent.token, ())
                if start.at_ns <= answer.at_ns
            ]
        if begun:
            result.add(
                answer.at_ns,
                f"{answer.request_id}: refused for {answer.reason}, begun on {begun[0].who}",
            )
    return result


def _group_by_caller_id(history: History) -> dict[str, list[HistoryEvent]]:
    """Group by the identifier the caller gave: the system may add a suffix after a dot."""
    groups = defaultdict(list)
    for start in history.get_events("started"):
        groups[start.request_id.split(".", 1)[0]].append(start)
    return groups
