"""Estimate how much of a latency goal the work of this instance takes."""

from collections import deque

MIN_MARGIN_MS = 5.5
"""Minimum margin before the goal: the event loop is rarely busy for longer."""

SUBREQUEST_MARGIN_MS = 0.08
"""Additional margin for each subrequest of a query. Half a kilobyte takes a fifth of a millisecond
on a link of 20 Mbit/s, and this instance sends a third of a query's subrequests. Data in the queue
of the link can't be observed from inside the process."""

MAX_MARGIN_GOAL_SHARE = 0.25
"""Maximum margin as a share of the goal. The answers of shards that arrive in the remaining time
are worth more than the few replies that are still late."""

DELAY_QUANTILE = 0.95
"""Quantile of the delays that the margin covers."""

MIN_SAMPLES = 8
"""Minimum number of delays for a reliable quantile."""

MAX_SAMPLES = 64
MAX_AGE_MS = 10_000.0
"""Bounds of the samples: they span some ten to sixty queries and none from before a load change."""


class DelaySamples:
    """The most recent delays of one kind."""

    __slots__ = ("_delays",)

    def __init__(self) -> None:
        self._delays: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def record(self, delay_ms: float, now_ms: float) -> None:
        """Add a delay."""
        self._delays.append((now_ms, delay_ms))

    def quantile_ms(self, now_ms: float) -> float:
        """Return the DELAY_QUANTILE of the delays; 0 while there are too few."""
        while self._delays and now_ms - self._delays[0][0] > MAX_AGE_MS:
            self._delays.popleft()
        if len(self._delays) < MIN_SAMPLES:
            return 0.0
        ordered = sorted(delay_ms for _, delay_ms in self._delays)
        return ordered[int(DELAY_QUANTILE * (len(ordered) - 1))]


class ProcessingDelay:
    """The time that this instance's own work takes of a latency goal.

    It consists of the delays of timers, and of the time that replies take from their decision until
    they are written to the socket.

    Load pattern: a small or slowed-down machine serves queries over a hundred shards. The timer at
    the goal has to wait for a burst of answers to be processed, and merging and writing take more
    time. With a fixed margin such replies were sent some milliseconds after the goal and were
    nearly worthless, although nearly all shards had answered before it.
    """

    __slots__ = ("_timers", "_writing")

    def __init__(self) -> None:
        self._timers = DelaySamples()
        self._writing = DelaySamples()

    def record_timer(self, late_ms: float, now_ms: float) -> None:
        """Record how late a timer fired."""
        self._timers.record(late_ms, now_ms)

    def record_write(self, took_ms: float, now_ms: float) -> None:
        """Record how long a reply took from its decision until it was written."""
        self._writing.record(took_ms, now_ms)

    def margin_ms(self, goal_ms: float, subrequest_count: int, now_ms: float) -> float:
        """Return how long before its goal the reply of a request has to be sent."""
        delay_ms = self._timers.quantile_ms(now_ms) + self._writing.quantile_ms(now_ms)
        margin_ms = max(MIN_MARGIN_MS, delay_ms) + SUBREQUEST_MARGIN_MS * subrequest_count
        return min(margin_ms, MAX_MARGIN_GOAL_SHARE * goal_ms)
