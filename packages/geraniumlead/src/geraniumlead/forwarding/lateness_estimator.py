"""Estimate when an attempt is late, and compute the deadlines of a request."""

from geraniumlead.forwarding.deadline import Deadline
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.open_request import Attempt
from geraniumlead.routes import Route
from geraniumlead.tail_latency import StragglerDetector

MIN_SAMPLES = 40
"""Minimum number of answers for reliable quantiles: an instance receives some twenty to sixty a
second on a route over all shards."""

LATE_SHARE = 0.05
"""Share of the attempts that count as late if the goal does not require an earlier time. Pauses
affect about one attempt in twenty-five. At a slightly larger share two in three second attempts
were slower than the first, and their traffic cost as much as they gained."""

SECOND_IN_TIME_SHARE = 0.9
"""Share of the second attempts that should still meet the goal: a late attempt is hedged as long
before the goal as nine in ten attempts take."""

LOW_BUDGET_SECOND_IN_TIME_SHARE = 0.6
"""The same while the budget is low: a longer wait avoids second attempts for those that are still
answered."""

MIN_LATE_FACTOR = 1.3
"""Multiple of the median latency before which an attempt is not late, however close the goal is.
Otherwise half of all attempts would be hedged."""

MAX_LATE_FACTOR = 2.5
"""Multiple of the median latency after which an attempt is late at the latest. With one slow
upstream in seven the slow ones determine the quantile, and second attempts were sent when too
little time was left."""

UNKNOWN_MEDIAN_GOAL_SHARE = 0.15
"""Assumed median latency, as a share of the goal, while no latency is known."""

UNKNOWN_LATE_GOAL_SHARE = 0.35
"""Assumed time after which an attempt is late, as a share of the goal, while no latency is known. A
second attempt then has more than half of the goal left."""

LOW_BUDGET_UNKNOWN_LATE_GOAL_SHARE = 0.6
"""The same while the budget is low. After a power failure the first requests of an instance arrive
all at once and take long, because connections are new and upstreams are busy. With the share above
two in three subrequests were sent again, which used up the budget of the next ten seconds."""

FAST_SHARE = 0.95
"""Share of the attempts that take longer than what counts as the fastest latency."""

MIN_LATENCY_MS = 2.0
"""Assumed fastest latency while none is known: a round trip in a data centre and little work."""


class LatenessEstimator:
    """An estimator of lateness from the latencies of each route without the relative RTT."""

    __slots__ = ("_detector", "_longest_wait_ms")

    def __init__(self) -> None:
        self._detector = StragglerDetector(MIN_SAMPLES)
        self._longest_wait_ms: dict[str, float] = {}

    def record(self, route: Route, latency_ms: float, now_ms: float) -> None:
        """Record the latency of an answer or of a late attempt that was cancelled."""
        self._detector.record(route.name, latency_ms, now_ms)

    def median_latency_ms(self, route: Route, now_ms: float) -> float:
        """Return the median latency of the route's attempts, without the relative RTT."""
        found_ms = self._detector.delay_ms(route.name, 0.5, now_ms)
        if found_ms is None:
            return UNKNOWN_MEDIAN_GOAL_SHARE * route.latency_goal_ms
        return found_ms

    def fastest_latency_ms(self, route: Route, now_ms: float) -> float:
        """Return the latency, without the relative RTT, below which hardly any attempt succeeds."""
        found_ms = self._detector.delay_ms(route.name, FAST_SHARE, now_ms)
        return MIN_LATENCY_MS if found_ms is None else found_ms

    def has_latencies(self, route: Route, now_ms: float) -> bool:
        """Return whether enough latencies of the route are known."""
        return self._detector.delay_ms(route.name, LATE_SHARE, now_ms) is not None

    def late_ms(
        self, attempt: Attempt, goal_left_ms: float, now_ms: float, has_ample_budget: bool
    ) -> float:
        """Return how long after its start an attempt is late.

        ``goal_left_ms`` is the time from the start of the attempt to the goal.

        While the budget is low, the second attempt is sent as late as it can still meet the goal:
        most attempts that are slightly late are normal work and are still answered.
        """
        route = attempt.subrequest.request.route
        found_ms = self._detector.delay_ms(route.name, LATE_SHARE, now_ms)
        second_share = SECOND_IN_TIME_SHARE if has_ample_budget else LOW_BUDGET_SECOND_IN_TIME_SHARE
        second_ms = self._detector.delay_ms(route.name, 1.0 - second_share, now_ms)
        if found_ms is None or second_ms is None:
            share = (
                UNKNOWN_LATE_GOAL_SHARE if has_ample_budget else LOW_BUDGET_UNKNOWN_LATE_GOAL_SHARE
            )
            return share * route.latency_goal_ms
        median_latency_ms = self.median_latency_ms(route, now_ms)
        late_ms = attempt.relative_rtt_ms + min(found_ms, MAX_LATE_FACTOR * median_latency_ms)
        latest_ms = goal_left_ms - attempt.second_relative_rtt_ms - second_ms
        if latest_ms <= 0.0:
            return late_ms
        if not has_ample_budget:
            return max(late_ms, latest_ms)
        min_ms = attempt.relative_rtt_ms + MIN_LATE_FACTOR * median_latency_ms
        return max(min(late_ms, latest_ms), min_ms)

    def deadlines_of(
        self, request: ForwardedRequest, route: Route, margin_ms: float
    ) -> tuple[float, Deadline]:
        """Return when the reply has to be sent to meet the goal, and the end of the request.

        ``margin_ms`` is the part of the goal that the work of this instance takes.
        """
        deadline = Deadline.from_request(request, route)
        if request.goal_left_ms is not None:
            # The peer that delegated the request has subtracted its margins from the goal.
            return request.arrived_ms + request.goal_left_ms, deadline
        goal_ms = self._goal_ms(route, request) - request.caller_rtt_ms - margin_ms
        return goal_ms, deadline

    def _goal_ms(self, route: Route, request: ForwardedRequest) -> float:
        """Return when the caller should have its reply, on the monotonic clock.

        The goal counts from the caller's first try. A retry only states how long the caller still
        waits; the time that it has waited is the difference to the longest wait seen on the route.
        """
        wait_ms = request.wait_ms
        if wait_ms is None:
            return request.began_ms + route.latency_goal_ms
        longest_ms = max(wait_ms, self._longest_wait_ms.get(route.name, 0.0))
        self._longest_wait_ms[route.name] = longest_ms
        return request.began_ms + route.latency_goal_ms - (longest_ms - wait_ms)
