from collections import defaultdict

from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.event import HistoryEvent
from geraniumlead_standins.history.history import History


def check_not_run(history: History) -> CheckResult:
    """Check that no upstream began to run a request that was refused as not run.

    An idempotent attempt that was refused must never begin, neither before nor after the
    refusal. The attempts of a booking share one ticket, so a refusal says that none of them
    began before it; a later attempt may run. Clock: the one that all lines share.
    Allowance: none.
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
    """Group the starts by the caller's request id; the system may add a suffix after a dot."""
    groups = defaultdict(list)
    for start in history.get_events("started"):
        groups[start.request_id.split(".", 1)[0]].append(start)
    return groups
