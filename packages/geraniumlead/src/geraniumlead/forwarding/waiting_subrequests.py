from geraniumlead.forwarding.open_request import Subrequest

MAX_WAIT_GOAL_SHARE = 0.25
"""Maximum share of the goal that a request may wait before anything of it is sent. After that the
caller is refused, while another instance can still serve it within its goal."""

MAX_WAITING = 64
"""Maximum number of subrequests that wait for one service. At some thirty milliseconds each and
with a few call slots, subrequests further back in the queue could not meet any goal."""


class WaitingSubrequests:
    """Subrequests that wait because all call slots of this instance at their upstreams are taken.

    Load pattern: a burst, or all callers at once after a power failure. Each upstream accepts a
    few concurrent calls of each instance, and the next slot is free within some ten milliseconds.
    Without the queue such subrequests counted as failed although their upstreams were healthy,
    and with several of them the whole request was refused.

    Subrequests that can still meet their goal are sent first, ordered by the priority of the route
    and then by the goal. Ordered by the goal alone, requests that had waited during a power
    failure were sent first although they were late in any case, and made all requests after them
    late for another second.
    """

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: dict[str, list[Subrequest]] = {}

    def add(self, subrequest: Subrequest) -> bool:
        """Add a subrequest; return False if the queue is full."""
        waiting = self._waiting.setdefault(subrequest.service, [])
        if len(waiting) >= MAX_WAITING:
            return False
        waiting.append(subrequest)
        subrequest.is_waiting = True
        return True

    def pop(self, service: str, now_ms: float) -> Subrequest | None:
        """Remove and return the next subrequest, or None."""
        waiting = self._waiting.get(service)
        if not waiting:
            return None
        subrequest = min(waiting, key=lambda subrequest: _urgency(subrequest, now_ms))
        waiting.remove(subrequest)
        subrequest.is_waiting = False
        return subrequest

    def remove(self, subrequest: Subrequest) -> None:
        """Remove a subrequest that is no longer needed, if it waits."""
        if subrequest.is_waiting:
            self._waiting[subrequest.service].remove(subrequest)
            subrequest.is_waiting = False

    def has(self, service: str) -> bool:
        """Return whether any subrequest waits for a service."""
        return bool(self._waiting.get(service))


def _urgency(subrequest: Subrequest, now_ms: float) -> tuple[bool, int, float]:
    open_request = subrequest.request
    return now_ms >= open_request.goal_ms, open_request.route.priority, open_request.goal_ms
