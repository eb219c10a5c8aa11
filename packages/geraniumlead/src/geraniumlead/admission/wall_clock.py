"""Follow the wall clock without trusting its steps."""

SLEW_S = 2.0
"""A change of at most this much is ordinary slewing and is followed at once."""

STEP_CONFIRM_MS = 300_000.0
"""A step has to stand this long: bad time sources are mostly put right within minutes."""


class WallClock:
    """Turn the monotonic clock into wall time.

    Load pattern: a time source steps a machine's clock by hours or years. Without the guard
    every contract would be expired (or valid again) in that moment, and an instance would
    refuse all of its callers. A step is kept apart until it has stood for
    ``STEP_CONFIRM_MS``; a contract's end then is late by minutes at the most.
    """

    __slots__ = ("_offset_s", "_suspect_offset_s", "_suspect_since_ms")

    def __init__(self) -> None:
        self._offset_s: float | None = None
        self._suspect_offset_s = 0.0
        self._suspect_since_ms: float | None = None

    def observe(self, wall_now_s: float, now_ms: float) -> None:
        """Take in one reading of the wall clock."""
        offset_s = wall_now_s - now_ms / 1000.0
        if self._offset_s is None or abs(offset_s - self._offset_s) <= SLEW_S:
            self._offset_s, self._suspect_since_ms = offset_s, None
            return
        is_new = self._suspect_since_ms is None
        if is_new or abs(offset_s - self._suspect_offset_s) > SLEW_S:
            self._suspect_since_ms = now_ms
        self._suspect_offset_s = offset_s
        if now_ms - (self._suspect_since_ms or 0.0) >= STEP_CONFIRM_MS:
            self._offset_s, self._suspect_since_ms = offset_s, None

    def now_s(self, now_ms: float) -> float | None:
        """Return the seconds since the epoch; None while no reading was ever taken."""
        return None if self._offset_s is None else self._offset_s + now_ms / 1000.0
