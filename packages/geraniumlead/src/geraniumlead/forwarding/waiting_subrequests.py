"""Let parts of requests wait for a place at an upstream."""

from geraniumlead.forwarding.open_request import Subrequest

LONGEST_WAIT_GOAL_SHARE = 0.25
"""Part of the goal for which a request that was sent nowhere yet may wait: after it the caller
is refused while it can still be served elsewhere within its goal."""

MOST_WAITING = 64
"""Parts that wait for one service. At some thirty milliseconds each and a few places, those
further back could not be served within any goal."""


class WaitingSubrequests:
    """Hold the parts whose upstreams have all the calls they may have of this instance.

    Load pattern: a burst, or all callers at once after a loss of power. Each upstream takes a
    few calls of each instance, and the next place comes within some ten milliseconds. Without
    the wait such parts were missing although their upstreams lived, and with several of them
    the whole request was refused.

    Who can still meet its goal goes first; among them the most urgent route, then the earliest
    goal. By the goal alone those who waited out a loss of power came first, late anyhow, and
    made all who came after them late for another second.
    """

    __slots__ = ("_legs",)

    def __init__(self) -> None:
        self._legs: dict[str, list[Subrequest]] = {}

    def add(self, leg: Subrequest) -> bool:
        """Let a part wait; False when too many do."""
        waiting = self._legs.setdefault(leg.service, [])
        if len(waiting) >= MOST_WAITING:
            return False
        waiting.append(leg)
        leg.is_waiting = True
        return True

    def take(self, service: str, now_ms: float) -> Subrequest | None:
        """Take out the part whose turn it is; None when none waits."""
        waiting = self._legs.get(service)
        if not waiting:
            return None
        leg = min(waiting, key=lambda leg: _urgency(leg, now_ms))
        waiting.remove(leg)
        leg.is_waiting = False
        return leg

    def drop(self, leg: Subrequest) -> None:
        """Take out a part that nobody wants any more."""
        if leg.is_waiting:
            self._legs[leg.service].remove(leg)
            leg.is_waiting = False

    def has(self, service: str) -> bool:
        """Return whether any part waits for a service."""
        return bool(self._legs.get(service))


def _urgency(leg: Subrequest, now_ms: float) -> tuple[bool, int, float]:
    opened = leg.request
    return now_ms >= opened.goal_ms, opened.route.priority, opened.goal_ms
