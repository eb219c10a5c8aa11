from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.checks.withdrawal import (
    FOREVER_NS,
    Withdrawal,
    check_withdrawals,
)
from geraniumlead_standins.history.history import History

PREFIX = "geraniumlead/data-centres/"


def check_data_centre_out(history: History) -> CheckResult:
    """Check that upstreams of a data centre receive no calls while its document says ``out``.

    Clock and allowance: see ``check_withdrawals``.
    """
    out_since: dict[str, int] = {}
    intervals: list[tuple[str, int, int]] = []
    for event in history.get_events("published"):
        if not event.key.startswith(PREFIX):
            continue
        name = event.key.removeprefix(PREFIX)
        is_out = event.value is not None and event.value.get("state") == "out"
        if is_out:
            out_since.setdefault(name, event.at_ns)
        elif name in out_since:
            intervals.append((name, out_since.pop(name), event.at_ns))
    intervals += [(name, since_ns, FOREVER_NS) for name, since_ns in out_since.items()]
    withdrawals = [
        Withdrawal(upstream_id, from_ns, until_ns)
        for name, from_ns, until_ns in intervals
        for upstream_id, data_centre in history.data_centre_by_upstream.items()
        if data_centre == name
    ]
    return check_withdrawals("data centre out", history, withdrawals)
