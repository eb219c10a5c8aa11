"""Notice that this instance is cut off from all upstreams."""

LEAST_UNREACHED = 3
"""Upstreams to which connections have to fail: one or two may have lost power themselves."""

ISOLATED_AFTER_MS = 500.0
"""Time without any answer from anywhere after which this instance counts as cut off. One that
serves callers gets an answer about every ten milliseconds."""

LOOK_AGAIN_MS = 1_500.0
"""Time after the last failed connection at which requests are sent again."""

PROBE_MS = 250.0
"""Time between two requests that are sent all the same while it is cut off."""


class IsolationDetector:
    """Count the upstreams that cannot be reached since the last answer from any of them.

    Load pattern: an instance loses its way to all upstreams, and callers still reach it. It
    held them until they gave up; refused at once, truly not run, they come back by another
    connection, to an instance that can serve them. One request at a time is sent all the
    same, to find out if the cut has ended.

    Slow answers alone are no sign of it: connections have to fail as well.
    """

    __slots__ = ("_answered_ms", "_failed_ms", "_probed_ms", "_unreached_ids")

    def __init__(self) -> None:
        self._answered_ms = float("-inf")
        self._failed_ms = float("-inf")
        self._probed_ms = float("-inf")
        self._unreached_ids: set[str] = set()

    def note_answer(self, now_ms: float) -> None:
        """Note that anything came from an upstream, be it a refusal."""
        self._answered_ms = now_ms
        self._unreached_ids.clear()

    def note_unreached(self, upstream_id: str, now_ms: float) -> None:
        """Note a connection to which nobody answered, where a living machine accepts or refuses."""
        self._unreached_ids.add(upstream_id)
        self._failed_ms = now_ms

    def is_isolated(self, now_ms: float) -> bool:
        """Return whether connections fail, and for a while nothing came from anywhere."""
        if len(self._unreached_ids) < LEAST_UNREACHED:
            return False
        is_quiet = now_ms - self._answered_ms >= ISOLATED_AFTER_MS
        return is_quiet and now_ms - self._failed_ms < LOOK_AGAIN_MS

    def is_useless(self, now_ms: float) -> bool:
        """Return whether a request would only wait; False for one that is to look."""
        if not self.is_isolated(now_ms):
            return False
        if now_ms - self._probed_ms >= PROBE_MS:
            self._probed_ms = now_ms
            return False
        return True
