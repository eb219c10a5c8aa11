from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.history import History


def check_one_snapshot(history: History) -> CheckResult:
    """Check that all records of an answer have the index version that the answer names.

    Clock: none, as only the answer itself is examined. Allowance: none.
    """
    result = CheckResult("one snapshot")
    for answer in history.get_events("answered"):
        if answer.outcome not in ("whole", "partial"):
            continue
        result.operations += 1
        versions = {record.index_version for record in answer.records}
        if versions - {answer.index_version}:
            found = sorted(versions)
            result.add(
                answer.at_ns,
                f"{answer.request_id}: names version {answer.index_version}, holds {found}",
            )
    return result
