SLEW_S = 2.0
"""An offset change up to this is normal slewing and is applied immediately."""

STEP_CONFIRM_MS = 300_000.0
"""Time for which a step has to last. Faulty time sources are mostly corrected within minutes."""


class WallClock:
    """Converts monotonic time to wall time and ignores short steps of the wall clock.

    Load pattern: a time source steps a machine's clock by hours or years. If the step were
    applied, every contract would immediately be expired (or valid again), and the instance
    would refuse all of its callers. A step is applied only after it has lasted for
    ``STEP_CONFIRM_MS``. The end of a contract is then applied a few minutes late at most.
    """

    __slots__ = ("_offset_s", "_pending_offset_s", "_pending_since_ms")

    def __init__(self) -> None:
        self._offset_s: float | None = None
        self._pending_offset_s = 0.0
        self._pending_since_ms: float | None = None

    def observe(self, wall_now_s: float, now_ms: float) -> None:
        """Record a reading of the wall clock."""
        offset_s = wall_now_s - now_ms / 1000.0
        if self._offset_s is None or abs(offset_s - self._offset_s) <= SLEW_S:
            self._offset_s, self._pending_since_ms = offset_s, None
            return
        is_new = self._pending_since_ms is None
        if is_new or abs(offset_s - self._pending_offset_s) > SLEW_S:
            self._pending_since_ms = now_ms
        self._pending_offset_s = offset_s
        if now_ms - (self._pending_since_ms or 0.0) >= STEP_CONFIRM_MS:
            self._offset_s, self._pending_since_ms = offset_s, None

    def now_s(self, now_ms: float) -> float | None:
        """Return the seconds since the epoch, or None before the first reading."""
        return None if self._offset_s is None else self._offset_s + now_ms / 1000.0
