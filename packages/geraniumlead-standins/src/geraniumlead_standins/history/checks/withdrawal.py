from dataclasses import dataclass

from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.history import History

WITHDRAWAL_ALLOWANCE_NS = 5_000_000_000
"""Time in which an instance must learn of a withdrawal, counted while it is connected."""

FOREVER_NS = 1 << 62


@dataclass(slots=True, frozen=True)
class Withdrawal:
    """An interval in which published documents say that an upstream gets no new work."""

    upstream_id: str
    from_ns: int
    until_ns: int


def check_withdrawals(
    invariant: str, history: History, withdrawals: list[Withdrawal]
) -> CheckResult:
    """Check that upstreams receive no calls of informed instances during a withdrawal.

    An instance counts as informed once it was connected to the platform (see
    ``Reachability``) for ``WITHDRAWAL_ALLOWANCE_NS`` without a break: an isolated instance
    cannot know, and nothing more than this is allowed to it. For a call without the name of
    the calling instance, the time counts from the publication. Clock: the one that all lines
    of the run share.
    """
    result = CheckResult(invariant)
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
    # A withdrawal without any later call counts as an operation in which the invariant held.
    result.operations += len(withdrawals)
    return result


def _find_informed_ns(history: History, instance: str, published_ns: int) -> int | None:
    if not instance:
        return published_ns + WITHDRAWAL_ALLOWANCE_NS
    return history.reachability.find_informed_ns(instance, published_ns, WITHDRAWAL_ALLOWANCE_NS)
