from dataclasses import dataclass

LATENCY_WEIGHT = 0.2
"""Weight of a new latency in the moving average.

Five answers after a step change, the average has made two thirds of the step.
"""

LATENCY_HALF_WEIGHT_AGE_MS = 1_000.0
"""Age at which an observed latency counts half in the score.

A replica that was ten times slower than the others is tried again after about 6 s.
"""

SUSPECT_AFTER_OVERDUE = 3
"""Number of consecutive overdue calls after which a replica is suspected.

With a hedge delay at the 98th percentile, a healthy replica has three of them once in 125,000
calls, and a suspicion only moves load to equivalent replicas.
"""

MIN_BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 2_000.0


@dataclass(slots=True)
class Replica:
    """The state of one upstream as observed in this instance's own calls, and its owners.

    Published health and load figures are not used: they lag, and an upstream that reports
    itself idle would attract all load. ``owners`` are in the order in which they hold cold
    slots, ``ranked_owners`` in the order in which this instance prefers them.
    """

    upstream_id: str
    owners: tuple[str, ...]
    ranked_owners: tuple[str, ...]
    is_own: bool
    in_flight: int = 0
    latency_ms: float = 0.0
    last_latency_at_ms: float = 0.0
    consecutive_overdue: int = 0
    is_suspected: bool = False
    probe_due_ms: float = 0.0
    avoid_until_ms: float = float("-inf")
    cold_until_ms: float = float("-inf")
    backoff_ms: float = 0.0

    def score(self, now_ms: float) -> float:
        """Return the expected wait: the calls in flight, including a new one, times the latency.

        The latency counts less with its age. Otherwise a replica that was slow once, or only
        slightly slower than the others, would never be used again.
        """
        age = max(0.0, now_ms - self.last_latency_at_ms) / LATENCY_HALF_WEIGHT_AGE_MS
        return (self.in_flight + 1) * (self.latency_ms or 1.0) / (1.0 + age)

    def record_latency(self, latency_ms: float, now_ms: float) -> None:
        """Update the average with the latency of an answer, and reset the failure counters."""
        self.consecutive_overdue, self.backoff_ms = 0, 0.0
        if self.latency_ms:
            # An old average counts little compared with a new latency.
            age = max(0.0, now_ms - self.last_latency_at_ms) / LATENCY_HALF_WEIGHT_AGE_MS
            weight = 1.0 - (1.0 - LATENCY_WEIGHT) / (1.0 + age)
            self.latency_ms += weight * (latency_ms - self.latency_ms)
        else:
            self.latency_ms = latency_ms
        self.last_latency_at_ms = now_ms

    def record_latency_lower_bound(self, elapsed_ms: float, now_ms: float) -> None:
        """Raise the average after a cancelled call, whose latency was at least ``elapsed_ms``."""
        if elapsed_ms > self.latency_ms > 0.0:
            self.last_latency_at_ms = now_ms
            self.latency_ms += LATENCY_WEIGHT * (elapsed_ms - self.latency_ms)

    def record_failure(self, now_ms: float) -> None:
        """Avoid the replica for a time that doubles with each consecutive failure.

        A replica that fails immediately has nothing in flight and looks idle. Without this
        backoff it would attract the load of all others.
        """
        self.backoff_ms = min(MAX_BACKOFF_MS, max(MIN_BACKOFF_MS, 2.0 * self.backoff_ms))
        self.avoid_until_ms = now_ms + self.backoff_ms
