"""Estimate how soon one upstream would answer."""

from dataclasses import dataclass

SLOWNESS_WEIGHT = 0.3
"""Weight of the newest answer: an instance sees some two answers a second of an upstream, and
one that got ten times slower has to lose its load within two of them."""

SLOWNESS_HALVES_MS = 2_000.0
"""Age at which what was seen counts half: a slow phase lasts seconds, and the upstream is
tried again when about two thirds of such a phase have passed."""

FAILURE_WEIGHT = 0.4
FAILURE_HALVES_MS = 2_000.0

STALL_MS = 250.0
"""Time for which an upstream with an overdue call is passed over first; pauses last about so
long."""

REFUSED_MS = 500.0
"""The same for an upstream that refuses connections; a start takes seconds."""

MOST_AVOID_MS = 4_000.0
"""Longest time for which an upstream is passed over before it is tried again: each try of one
without power costs a query a second attempt, and slow phases and starts last some seconds."""


GONE_MS = 10_000.0
"""Time for which an upstream is left out whose address another one answers at. Its entry lapses
within four seconds, later only while the store is away; a new life begins with a new entry."""


@dataclass(slots=True)
class UpstreamEstimate:
    """Hold the in-band signals of one upstream.

    ``slowness`` compares its latencies with the usual one of the route, so that routes with
    long and short work teach the same figure. Published health has no part: it lags.
    """

    in_flight: int = 0
    slowness: float = 1.0
    slowness_ms: float = 0.0
    failure_share: float = 0.0
    failure_ms: float = 0.0
    avoid_until_ms: float = float("-inf")
    troubles_in_row: int = 0
    gone_until_ms: float = float("-inf")

    def slowness_at(self, now_ms: float) -> float:
        """Return the slowness, which falls back to 1 while nothing is seen."""
        age = max(0.0, now_ms - self.slowness_ms) / SLOWNESS_HALVES_MS
        return 1.0 + (self.slowness - 1.0) * 0.5**age

    def failure_share_at(self, now_ms: float) -> float:
        """Return the share of failures, which falls while nothing is seen."""
        age = max(0.0, now_ms - self.failure_ms) / FAILURE_HALVES_MS
        return self.failure_share * 0.5**age

    def note_latency(self, slowness: float, now_ms: float) -> None:
        """Learn from an answer."""
        before = self.slowness_at(now_ms)
        self.slowness = before + SLOWNESS_WEIGHT * (slowness - before)
        self.slowness_ms = now_ms
        self.avoid_until_ms = float("-inf")
        self.troubles_in_row = 0
        self._note_failure_share(0.0, now_ms)

    def note_at_least(self, slowness: float, now_ms: float) -> None:
        """Learn from a call that is still out, or was cancelled: it is at least so slow."""
        if slowness > self.slowness_at(now_ms):
            before = self.slowness_at(now_ms)
            self.slowness = before + SLOWNESS_WEIGHT * (slowness - before)
            self.slowness_ms = now_ms

    def note_overdue(self, now_ms: float) -> None:
        """Pass over an upstream whose call is overdue, until it answers."""
        self._avoid(STALL_MS, now_ms)

    def note_failure(self, now_ms: float) -> None:
        """Learn from a call that failed or was rejected."""
        self._note_failure_share(1.0, now_ms)

    def note_refused(self, now_ms: float) -> None:
        """Learn from a connection that did not come about."""
        self._note_failure_share(1.0, now_ms)
        self._avoid(REFUSED_MS, now_ms)

    def note_gone(self, now_ms: float) -> None:
        """Leave out an upstream whose address belongs to another one now.

        Failure: an upstream ends and its address is given away while its entry still stands.
        Whatever is sent there is rejected, and counts as a needless request at the service
        of the new owner, which may be another shard of the same query.
        """
        self.gone_until_ms = now_ms + GONE_MS

    def _avoid(self, first_ms: float, now_ms: float) -> None:
        """Pass it over, twice as long for each trouble in a row.

        Calls that were sent before the upstream was passed over say nothing new.
        """
        if now_ms < self.avoid_until_ms:
            return
        avoid_ms = min(MOST_AVOID_MS, first_ms * 2.0**self.troubles_in_row)
        self.avoid_until_ms = now_ms + avoid_ms
        self.troubles_in_row += 1

    def _note_failure_share(self, failed: float, now_ms: float) -> None:
        before = self.failure_share_at(now_ms)
        self.failure_share = before + FAILURE_WEIGHT * (failed - before)
        self.failure_ms = now_ms
