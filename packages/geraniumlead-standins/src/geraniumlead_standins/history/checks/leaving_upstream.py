from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.checks.withdrawal import (
    FOREVER_NS,
    Withdrawal,
    check_withdrawals,
)
from geraniumlead_standins.history.history import UPSTREAM_LIST_PREFIX, History


def check_leaving_upstream(history: History) -> CheckResult:
    """Check that an upstream receives no calls once its list says ``leaving`` or omits it.

    Clock and allowance: see ``check_withdrawals``.
    """
    left_since: dict[str, int] = {}
    withdrawals: list[Withdrawal] = []
    listed: dict[str, set[str]] = {}
    for event in history.get_events("published"):
        if not event.key.startswith(UPSTREAM_LIST_PREFIX):
            continue
        entries = event.value["upstreams"] if event.value is not None else []
        staying = {entry["upstream_id"] for entry in entries if entry.get("state") != "leaving"}
        names = {entry["upstream_id"] for entry in entries}
        gone = (listed.get(event.key, set()) | names) - staying
        for upstream_id in gone:
            left_since.setdefault(upstream_id, event.at_ns)
        for upstream_id in staying & left_since.keys():
            since_ns = left_since.pop(upstream_id)
            withdrawals.append(Withdrawal(upstream_id, since_ns, event.at_ns))
        listed[event.key] = listed.get(event.key, set()) | names
    withdrawals += [Withdrawal(name, since, FOREVER_NS) for name, since in left_since.items()]
    return check_withdrawals("leaving upstream", history, withdrawals)
