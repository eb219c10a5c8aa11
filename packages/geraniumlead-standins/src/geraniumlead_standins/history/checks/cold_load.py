"""Check that an upstream in cold start receives no more load than it can bear."""

from dataclasses import dataclass, field

from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.history import History

NOTICE_ALLOWANCE_NS = 1_000_000_000
"""An upstream that turns cold without warning is known to nobody at first; what it receives
in the first second was sent by instances that could not know."""


def check_cold_load(history: History) -> CheckResult:
    """Look for an upstream that has more calls at once than its allowance while it is cold.

    Clock: the upstream's own. A call counts from its ``received`` to its ``ended``. Calls
    held when the upstream turns cold, and calls of the first ``NOTICE_ALLOWANCE_NS``, are
    not counted as broken unless the upstream said before that it was cold.
    """
    result = CheckResult("cold load")
    upstreams: dict[str, _Load] = {}
    for event in history.of("received", "ended", "turned_cold", "turned_warm"):
        load = upstreams.setdefault(event.who, _Load())
        match event.event:
            case "turned_cold":
                load.cold_since_ns, load.allowance = event.at_ns, event.allowance
                load.calls.clear()
            case "turned_warm":
                load.cold_since_ns = None
            case "ended":
                load.calls.discard(event.call_id)
            case "received":
                load.calls.add(event.call_id)
                if load.cold_since_ns is None:
                    continue
                result.operations += 1
                noticed = event.at_ns >= load.cold_since_ns + NOTICE_ALLOWANCE_NS
                if noticed and len(load.calls) > load.allowance:
                    result.add(
                        event.at_ns,
                        f"{event.who}: {len(load.calls)} calls at once, bears {load.allowance}",
                    )
    return result


@dataclass(slots=True)
class _Load:
    cold_since_ns: int | None = None
    allowance: int = 0
    calls: set[str] = field(default_factory=set)
