"""Say when an attempt is late, and until when an answer is worth its full credit."""

from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.open_request import Attempt
from geraniumlead.routes import Route
from geraniumlead.tail import StragglerDetector

LEAST_SAMPLES = 40
"""Answers after which quantiles are believed: an instance sees some twenty to sixty a second
on a route over all shards."""

LATE_SHARE = 0.05
"""Share of the attempts that count as late, where the goal does not ask for more haste. Pauses
hit about one in twenty-five; at a slightly larger share two in three second attempts lost to the
first, and their bytes cost what they won."""

SECOND_SHARE = 0.9
"""Share of the second attempts that should still make the goal: what is late is repeated so
much before the goal as nine in ten attempts take."""

LAST_CHANCE_SHARE = 0.6
"""The same with a short budget: waiting longer spares those that still come by themselves."""

LEAST_LATE_FACTOR = 1.3
"""An attempt is not late before it took this much longer than usual, however near the goal
is: half of all attempts would be repeated."""

MOST_LATE_FACTOR = 2.5
"""An attempt is late after this much of the usual time at the latest. With one upstream in seven
slow, the slow ones are the quantile, and second attempts waited until too little was left."""

UNKNOWN_USUAL_GOAL_SHARE = 0.15
"""Guess of the usual latency before any is known."""

UNKNOWN_LATE_GOAL_SHARE = 0.35
"""Guess of when an attempt is late before any latency is known: a second one then has the
better half of the goal left."""

UNKNOWN_LAST_GOAL_SHARE = 0.6
"""The same with a short budget. After a loss of power the first requests of an instance come all
at once and take long, for connections are new and upstreams busy. With the guess above they
repeated two parts in three and spent the budget of the next ten seconds."""

END_MARGIN_MS = 20.0
"""Left of the caller's wait, so that the answer arrives before it gives up."""


class LateClock:
    """Learn what is left of the latencies on each route after the way."""

    __slots__ = ("_clock", "_longest_wait_ms")

    def __init__(self) -> None:
        self._clock = StragglerDetector(LEAST_SAMPLES)
        self._longest_wait_ms: dict[str, float] = {}

    def record(self, route: Route, latency_ms: float, now_ms: float) -> None:
        """Learn from an answer, or from a late attempt that was cancelled."""
        self._clock.record(route.name, latency_ms, now_ms)

    def median_latency_ms(self, route: Route, now_ms: float) -> float:
        """Return the median of the route's attempts, without the way."""
        found_ms = self._clock.delay_ms(route.name, 0.5, now_ms)
        return found_ms or UNKNOWN_USUAL_GOAL_SHARE * route.latency_goal_ms

    def is_known(self, route: Route, now_ms: float) -> bool:
        """Return whether latencies of the route were seen."""
        return self._clock.delay_ms(route.name, LATE_SHARE, now_ms) is not None

    def late_ms(
        self, attempt: Attempt, goal_left_ms: float, now_ms: float, has_plenty: bool
    ) -> float:
        """Return after which time an attempt is late that had ``goal_left_ms`` to the goal.

        With a short budget the second attempt waits for its last chance: most of what is a
        little late is ordinary work and still comes.
        """
        route = attempt.subrequest.request.route
        found_ms = self._clock.delay_ms(route.name, LATE_SHARE, now_ms)
        second_share = SECOND_SHARE if has_plenty else LAST_CHANCE_SHARE
        second_ms = self._clock.delay_ms(route.name, 1.0 - second_share, now_ms)
        if found_ms is None or second_ms is None:
            share = UNKNOWN_LATE_GOAL_SHARE if has_plenty else UNKNOWN_LAST_GOAL_SHARE
            return share * route.latency_goal_ms
        usual_ms = self.median_latency_ms(route, now_ms)
        late_ms = attempt.relative_rtt_ms + min(found_ms, MOST_LATE_FACTOR * usual_ms)
        latest_ms = goal_left_ms - attempt.second_relative_rtt_ms - second_ms
        if latest_ms <= 0.0:
            return late_ms
        if not has_plenty:
            return max(late_ms, latest_ms)
        least_ms = attempt.relative_rtt_ms + LEAST_LATE_FACTOR * usual_ms
        return max(min(late_ms, latest_ms), least_ms)

    def times_of(
        self, request: ForwardedRequest, route: Route, margin_ms: float
    ) -> tuple[float, float]:
        """Return when the reply should leave for its full credit, and when all is over.

        ``margin_ms`` is left of the goal for this instance's own work.
        """
        wait_ms = min(request.wait_ms or route.timeout_ms, route.timeout_ms)
        if request.goal_left_ms is not None:
            # The peer that passed it here has taken its margins from both.
            return request.arrived_ms + request.goal_left_ms, request.arrived_ms + wait_ms
        end_ms = request.arrived_ms + max(0.0, wait_ms - END_MARGIN_MS)
        return self._goal_ms(route, request) - request.caller_rtt_ms - margin_ms, end_ms

    def _goal_ms(self, route: Route, request: ForwardedRequest) -> float:
        """Return until when the caller should have its answer, on the monotonic clock.

        The goal counts from the caller's first try. A repeat says only how long it still
        waits; what it has waited is the difference to the longest wait seen on the route.
        """
        wait_ms = request.wait_ms
        if wait_ms is None:
            return request.arrived_ms + route.latency_goal_ms
        longest_ms = max(wait_ms, self._longest_wait_ms.get(route.name, 0.0))
        self._longest_wait_ms[route.name] = longest_ms
        return request.arrived_ms + route.latency_goal_ms - (longest_ms - wait_ms)
