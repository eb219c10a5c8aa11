from dataclasses import dataclass

SLOWNESS_WEIGHT = 0.3
"""Weight of the newest answer. An instance gets about two answers a second from an upstream, and
one that has become ten times slower has to lose its load within two of them."""

SLOWNESS_HALF_LIFE_MS = 2_000.0
"""Half-life of the observed slowness. Slow phases last seconds, and the upstream is tried again
when about two thirds of such a phase have passed."""

FAILURE_WEIGHT = 0.4
FAILURE_HALF_LIFE_MS = 2_000.0

OVERDUE_AVOID_MS = 250.0
"""Time for which an upstream with an overdue call is avoided the first time; pauses last about that
long."""

REFUSED_AVOID_MS = 500.0
"""Time for which an upstream that refuses connections is avoided the first time; a start takes
seconds."""

MAX_AVOID_MS = 4_000.0
"""Longest time for which an upstream is avoided before it is tried again. Each try of an upstream
without power costs a query a second attempt, and slow phases and starts last some seconds."""


ADDRESS_REUSED_EXCLUSION_MS = 10_000.0
"""Time for which an upstream is excluded after another one answered at its address. Its entry
lapses within four seconds, later only while the store is unavailable; a restart begins with a new
entry."""


@dataclass(slots=True)
class UpstreamEstimate:
    """The state of one upstream, estimated from the calls sent to it.

    ``slowness`` is the ratio of its latency to the median latency of the route, so that routes with
    short and long work contribute alike. Published health is not used, because it lags behind.
    """

    in_flight: int = 0
    slowness: float = 1.0
    slowness_updated_ms: float = 0.0
    failure_share: float = 0.0
    failure_updated_ms: float = 0.0
    avoid_until_ms: float = float("-inf")
    consecutive_avoidances: int = 0
    excluded_until_ms: float = float("-inf")

    def slowness_at(self, now_ms: float) -> float:
        """Return the slowness, which decays to 1 while there are no observations."""
        age = max(0.0, now_ms - self.slowness_updated_ms) / SLOWNESS_HALF_LIFE_MS
        return 1.0 + (self.slowness - 1.0) * 0.5**age

    def failure_share_at(self, now_ms: float) -> float:
        """Return the share of failures, which decays to 0 while there are no observations."""
        age = max(0.0, now_ms - self.failure_updated_ms) / FAILURE_HALF_LIFE_MS
        return self.failure_share * 0.5**age

    def record_latency(self, slowness: float, now_ms: float) -> None:
        """Update the estimate with an answer, which also ends any avoidance."""
        before = self.slowness_at(now_ms)
        self.slowness = before + SLOWNESS_WEIGHT * (slowness - before)
        self.slowness_updated_ms = now_ms
        self.avoid_until_ms = float("-inf")
        self.consecutive_avoidances = 0
        self._update_failure_share(0.0, now_ms)

    def record_lower_bound(self, slowness: float, now_ms: float) -> None:
        """Update the estimate with a lower bound: a call is unanswered or was cancelled."""
        if slowness > self.slowness_at(now_ms):
            before = self.slowness_at(now_ms)
            self.slowness = before + SLOWNESS_WEIGHT * (slowness - before)
            self.slowness_updated_ms = now_ms

    def record_overdue(self, now_ms: float) -> None:
        """Avoid the upstream because a call to it is overdue, until it answers."""
        self._avoid(OVERDUE_AVOID_MS, now_ms)

    def record_failure(self, now_ms: float) -> None:
        """Count a call that failed or was rejected."""
        self._update_failure_share(1.0, now_ms)

    def record_refused(self, now_ms: float) -> None:
        """Count a connection that could not be established, and avoid the upstream."""
        self._update_failure_share(1.0, now_ms)
        self._avoid(REFUSED_AVOID_MS, now_ms)

    def record_address_reused(self, now_ms: float) -> None:
        """Exclude the upstream because its address now belongs to another one.

        Failure: an upstream ends, and its address is reused while its entry still exists. Every
        request sent there is rejected, and counts as an unnecessary request at the service of the
        new owner, which may be another shard of the same query.
        """
        self.excluded_until_ms = now_ms + ADDRESS_REUSED_EXCLUSION_MS

    def _avoid(self, initial_ms: float, now_ms: float) -> None:
        """Avoid the upstream, for twice as long with each consecutive problem.

        Calls that were sent before the avoidance began carry no new information and are ignored.
        """
        if now_ms < self.avoid_until_ms:
            return
        avoid_ms = min(MAX_AVOID_MS, initial_ms * 2.0**self.consecutive_avoidances)
        self.avoid_until_ms = now_ms + avoid_ms
        self.consecutive_avoidances += 1

    def _update_failure_share(self, failed: float, now_ms: float) -> None:
        before = self.failure_share_at(now_ms)
        self.failure_share = before + FAILURE_WEIGHT * (failed - before)
        self.failure_updated_ms = now_ms
