"""Say when an attempt is late, and until when an answer is worth its full credit."""

from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.routes import Route
from geraniumlead.tail import StragglerClock

LEAST_SAMPLES = 40
"""Answers after which quantiles are believed: an instance sees some twenty to sixty a second
on a route over all shards."""

LATE_SHARE = 0.06
"""Share of the attempts that count as late: pauses hit about one in twenty-five, the rest is
the tail of ordinary work."""

MOST_LATE_GOAL_SHARE = 0.35
"""Part of the goal after which an attempt is late however slow others are: a second one then
has the better half of the goal left."""

LAST_CHANCE_GOAL_SHARE = 0.55
"""Part of the goal after which a second attempt comes last: later, it can seldom make it."""

UNKNOWN_USUAL_GOAL_SHARE = 0.15
"""Guess of the usual latency before any is known."""


class LateClock:
    """Learn the latencies of each route."""

    __slots__ = ("_clock", "_longest_wait_ms")

    def __init__(self) -> None:
        self._clock = StragglerClock(LEAST_SAMPLES)
        self._longest_wait_ms: dict[str, float] = {}

    def record(self, route: Route, latency_ms: float, now_ms: float) -> None:
        """Learn from an answer, or from a late attempt that was cancelled."""
        self._clock.record(route.name, latency_ms, now_ms)

    def usual_ms(self, route: Route, now_ms: float) -> float:
        """Return the median latency of the route's attempts."""
        found_ms = self._clock.delay_ms(route.name, 0.5, now_ms)
        return found_ms or UNKNOWN_USUAL_GOAL_SHARE * route.latency_goal_ms

    def late_ms(self, route: Route, now_ms: float, has_plenty: bool) -> float:
        """Return after which time an attempt is late.

        With a short budget the second attempt waits for its last chance: most of what is a
        little late is ordinary work and still comes.
        """
        if not has_plenty:
            return LAST_CHANCE_GOAL_SHARE * route.latency_goal_ms
        most_ms = MOST_LATE_GOAL_SHARE * route.latency_goal_ms
        found_ms = self._clock.delay_ms(route.name, LATE_SHARE, now_ms)
        return most_ms if found_ms is None else min(most_ms, found_ms)

    def goal_ms(self, route: Route, request: ForwardedRequest) -> float:
        """Return until when an answer earns its full credit, on the monotonic clock.

        The goal counts from the caller's first try. A repeat says only how long it still
        waits; what it has waited is the difference to the longest wait seen on the route.
        """
        if request.goal_left_ms is not None:
            return request.arrived_ms + request.goal_left_ms
        wait_ms = request.wait_ms
        if wait_ms is None:
            return request.arrived_ms + route.latency_goal_ms
        longest_ms = max(wait_ms, self._longest_wait_ms.get(route.name, 0.0))
        self._longest_wait_ms[route.name] = longest_ms
        return request.arrived_ms + route.latency_goal_ms - (longest_ms - wait_ms)
