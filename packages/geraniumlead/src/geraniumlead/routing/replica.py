"""Define what this instance saw of one upstream."""

from dataclasses import dataclass

LATENCY_WEIGHT = 0.2
"""Weight of the newest latency: five answers after a step the mean is two thirds there."""

LATENCY_HALVES_MS = 1_000.0
"""Age at which a latency counts half; one ten times slower is tried again after some 6 s."""

SUSPECT_AFTER_OVERDUE = 3
"""Overdue calls in a row after which a replica is suspected.

At a hedge delay of the 98th percentile a healthy replica has three in a row once in 125,000
calls, and a suspicion only moves load to its equals.
"""

LEAST_BACKOFF_MS = 50.0
MOST_BACKOFF_MS = 2_000.0


@dataclass(slots=True)
class Replica:
    """Hold the in-band signals of one upstream, and how it is reached.

    Published health and load figures have no place here: they lag, and an upstream that
    reports itself idle would draw all load. ``owners`` are in the order in which they hold
    cold slots, ``ranked_owners`` in the order in which this instance prefers them.
    """

    upstream_id: str
    owners: tuple[str, ...]
    ranked_owners: tuple[str, ...]
    is_own: bool
    in_flight: int = 0
    latency_ms: float = 0.0
    seen_ms: float = 0.0
    overdue_in_row: int = 0
    is_suspected: bool = False
    probe_due_ms: float = 0.0
    avoid_until_ms: float = float("-inf")
    cold_until_ms: float = float("-inf")
    backoff_ms: float = 0.0

    def score(self, now_ms: float) -> float:
        """Return the expected wait: calls in front of a new one times the time of each.

        A latency that was not seen again counts less with time. Without this a replica that
        was slow once, or only a little slower than its equals, would never be used again.
        """
        age = max(0.0, now_ms - self.seen_ms) / LATENCY_HALVES_MS
        return (self.in_flight + 1) * (self.latency_ms or 1.0) / (1.0 + age)

    def note_latency(self, latency_ms: float, now_ms: float) -> None:
        """Learn from an answer."""
        self.overdue_in_row, self.backoff_ms = 0, 0.0
        if self.latency_ms:
            # What was seen long ago counts little beside what is seen now.
            age = max(0.0, now_ms - self.seen_ms) / LATENCY_HALVES_MS
            weight = 1.0 - (1.0 - LATENCY_WEIGHT) / (1.0 + age)
            self.latency_ms += weight * (latency_ms - self.latency_ms)
        else:
            self.latency_ms = latency_ms
        self.seen_ms = now_ms

    def note_at_least(self, elapsed_ms: float, now_ms: float) -> None:
        """Learn from a call that was cancelled: its latency was at least this."""
        if elapsed_ms > self.latency_ms > 0.0:
            self.seen_ms = now_ms
            self.latency_ms += LATENCY_WEIGHT * (elapsed_ms - self.latency_ms)

    def note_failure(self, now_ms: float) -> None:
        """Avoid the replica for a while that doubles with every failure in a row.

        Without this a replica that fails at once has nothing in flight, looks idle and
        draws the load of all others.
        """
        self.backoff_ms = min(MOST_BACKOFF_MS, max(LEAST_BACKOFF_MS, 2.0 * self.backoff_ms))
        self.avoid_until_ms = now_ms + self.backoff_ms
