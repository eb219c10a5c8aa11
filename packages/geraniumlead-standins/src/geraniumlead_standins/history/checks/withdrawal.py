"""Find the times in which a published document kept new work away from upstreams."""

from dataclasses import dataclass

from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.history import History

WITHDRAWAL_ALLOWANCE_NS = 5_000_000_000
"""The few seconds that the news may take, counted while the instance can hear it."""

FOREVER_NS = 1 << 62


@dataclass(slots=True, frozen=True)
class Withdrawal:
    """Say from when to when an upstream was to get no new work."""

    upstream_id: str
    from_ns: int
    until_ns: int


def check_withdrawals(point: str, history: History, withdrawals: list[Withdrawal]) -> CheckResult:
    """Look for calls that an upstream receives after the news had its time.

    The time is ``WITHDRAWAL_ALLOWANCE_NS`` in one piece in which the calling instance was
    joined to the platform (see Reachability): a cut-off instance cannot know, and this bound
    is exactly what is allowed to it. A call without the calling instance's name is held
    against the publication alone. Clock: the one that all lines of the run share.
    """
    result = CheckResult(point)
    by_upstream: dict[str, list[Withdrawal]] = {}
    for withdrawal in withdrawals:
        by_upstream.setdefault(withdrawal.upstream_id, []).append(withdrawal)
    for call in history.get_events("received"):
        for withdrawal in by_upstream.get(call.who, ()):
            if not withdrawal.from_ns <= call.at_ns < withdrawal.until_ns:
                continue
            result.operations += 1
            informed_ns = _find_informed_ns(history, call.instance, withdrawal.from_ns)
            if informed_ns is not None and call.at_ns > informed_ns:
                late_ms = (call.at_ns - withdrawal.from_ns) // 1_000_000
                caller = call.instance or "an instance"
                result.add(call.at_ns, f"{call.who}: called by {caller} {late_ms} ms after")
    # A withdrawal after which no call came at all is an operation that held.
    result.operations += len(withdrawals)
    return result


def _find_informed_ns(history: History, instance: str, published_ns: int) -> int | None:
    if not instance:
        return published_ns + WITHDRAWAL_ALLOWANCE_NS
    return history.reachability.find_informed_ns(instance, published_ns, WITHDRAWAL_ALLOWANCE_NS)
