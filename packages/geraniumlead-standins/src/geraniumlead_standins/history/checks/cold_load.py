from dataclasses import dataclass, field

from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.event import HistoryEvent
from geraniumlead_standins.history.history import History
from geraniumlead_standins.history.reachability import Reachability

NOTICE_ALLOWANCE_NS = 250_000_000
"""Time within which an instance that found an upstream cold has informed the others: a
batching tick and the longest one-way delay between regions, with a margin for a busy machine."""

OWN_NOTICE_NS = 50_000_000
"""Time that an answer takes to reach the instance that called the upstream."""

WHILE_AWAY = "while away"
"""Reason of a cold start during which the upstream was leaving or its data centre was out.
Instances have to expect it to be cold when it returns to service, so there is no notice
allowance."""


def check_cold_load(history: History) -> CheckResult:
    """Check that a cold upstream never has more calls at once than its allowance.

    Clock: the upstream's own. A call counts from its ``received`` to its ``ended``. No
    instance can know of an upstream that turns cold without notice until a call ends there,
    so only calls of instances that could know are counted: the caller of that call, after
    ``OWN_NOTICE_NS``, and every other instance that was connected (see ``Reachability``) for
    ``NOTICE_ALLOWANCE_NS`` since.
    """
    result = CheckResult("cold load")
    states: dict[str, _ColdState] = {}
    for event in history.get_events("received", "ended", "turned_cold", "turned_warm"):
        state = states.setdefault(event.who, _ColdState())
        match event.event:
            case "turned_cold":
                states[event.who] = _ColdState.from_event(event)
            case "turned_warm":
                state.is_cold = False
            case "ended":
                state.end_call(event)
            case "received" if state.is_cold:
                result.operations += 1
                if state.add_call(event, history.reachability):
                    result.add(
                        event.at_ns,
                        f"{event.who}: {len(state.calls)} calls at once, bears {state.allowance}",
                    )
    return result


@dataclass(slots=True)
class _ColdState:
    """The cold state of one upstream and the calls that count against its allowance.

    ``known_from_ns`` says from when each instance that had a call end there knows that the
    upstream is cold. ``shared_from_ns`` is when the first such call ended: the others can be
    informed from then on.
    """

    is_cold: bool = False
    allowance: int = 0
    shared_from_ns: int | None = None
    known_from_ns: dict[str, int] = field(default_factory=dict)
    calls: set[str] = field(default_factory=set)

    @classmethod
    def from_event(cls, event: HistoryEvent) -> "_ColdState":
        state = cls(True, event.allowance)
        if event.reason == WHILE_AWAY:
            state.shared_from_ns = event.at_ns - NOTICE_ALLOWANCE_NS
        return state

    def end_call(self, event: HistoryEvent) -> None:
        self.calls.discard(event.call_id)
        if self.is_cold:
            self.known_from_ns.setdefault(event.instance, event.at_ns + OWN_NOTICE_NS)
            if self.shared_from_ns is None:
                self.shared_from_ns = event.at_ns

    def add_call(self, event: HistoryEvent, reachability: Reachability) -> bool:
        """Count a call of an instance that could know; return whether it exceeds the allowance."""
        if not self._is_informed(event, reachability):
            return False
        self.calls.add(event.call_id)
        return len(self.calls) > self.allowance

    def _is_informed(self, event: HistoryEvent, reachability: Reachability) -> bool:
        if event.at_ns >= self.known_from_ns.get(event.instance, event.at_ns + 1):
            return True
        if self.shared_from_ns is None:
            return False
        known_from_ns: int | None = self.shared_from_ns + NOTICE_ALLOWANCE_NS
        if event.instance:
            known_from_ns = reachability.find_informed_ns(
                event.instance, self.shared_from_ns, NOTICE_ALLOWANCE_NS
            )
        return known_from_ns is not None and event.at_ns >= known_from_ns
