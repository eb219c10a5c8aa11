MIN_UNREACHABLE = 3
"""Minimum number of unreachable upstreams with which an instance may count as isolated: one or two
may have lost power themselves."""

ISOLATED_AFTER_MS = 500.0
"""Time without an answer from any upstream after which this instance counts as isolated. One that
serves callers gets an answer about every ten milliseconds."""

RESUME_AFTER_MS = 1_500.0
"""Time after the last failed connection at which requests are sent normally again."""

PROBE_INTERVAL_MS = 250.0
"""Interval between the probes, which are requests sent while the instance is isolated."""


class IsolationDetector:
    """Detects that this instance is isolated: that it can reach no upstream.

    It counts the upstreams to which connections have failed since the last answer from any of them.

    Load pattern: an instance loses its connection to all upstreams, while callers still reach it.
    If it keeps their requests, they wait until they time out. If it refuses them at once, with
    nothing executed, they retry over another connection and reach an instance that can serve them.
    One request at a time is still sent as a probe, to find out whether the isolation has ended.

    Slow answers alone do not mean isolation: connections have to fail as well.
    """

    __slots__ = ("_answered_ms", "_failed_ms", "_probed_ms", "_unreachable_ids")

    def __init__(self) -> None:
        self._answered_ms = float("-inf")
        self._failed_ms = float("-inf")
        self._probed_ms = float("-inf")
        self._unreachable_ids: set[str] = set()

    def record_answer(self, now_ms: float) -> None:
        """Record any answer from an upstream, including a refusal."""
        self._answered_ms = now_ms
        self._unreachable_ids.clear()

    def record_unreachable(self, upstream_id: str, now_ms: float) -> None:
        """Record a connection timeout; a running machine would accept or refuse the connection."""
        self._unreachable_ids.add(upstream_id)
        self._failed_ms = now_ms

    def is_isolated(self, now_ms: float) -> bool:
        """Return whether connections fail and no upstream has answered for a while."""
        if len(self._unreachable_ids) < MIN_UNREACHABLE:
            return False
        is_quiet = now_ms - self._answered_ms >= ISOLATED_AFTER_MS
        return is_quiet and now_ms - self._failed_ms < RESUME_AFTER_MS

    def should_refuse(self, now_ms: float) -> bool:
        """Return whether a request has to be refused because no upstream can be reached.

        At intervals it returns False for one request, which is sent as a probe.
        """
        if not self.is_isolated(now_ms):
            return False
        if now_ms - self._probed_ms >= PROBE_INTERVAL_MS:
            self._probed_ms = now_ms
            return False
        return True
