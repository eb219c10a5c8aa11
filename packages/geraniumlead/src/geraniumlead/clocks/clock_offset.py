UNKNOWN_MS = float("inf")

WINDOW_MS = 60_000.0
"""Length of a window. The least of two windows counts, so that clocks which drift apart by a
hundredth of a percent are compared to 12 ms."""

MAX_DELAY_MS = 10_000.0
"""Longest delay of a message that is believed. A connection whose data is not acknowledged is
replaced after 3 s, so a longer one means that the peer's machine and its clock have restarted."""


class ClockOffset:
    """How far this clock is ahead of a peer's, plus the shortest delay of a message from it.

    It is the least difference between the times at which messages came and were sent. ``least_ms``
    is infinite before any message.
    """

    __slots__ = ("_current_ms", "_previous_ms", "_rotated_ms")

    def __init__(self) -> None:
        self._current_ms = UNKNOWN_MS
        self._previous_ms = UNKNOWN_MS
        self._rotated_ms = float("-inf")

    @property
    def least_ms(self) -> float:
        """Return the least difference of this window and the one before."""
        return min(self._current_ms, self._previous_ms)

    def to_other_clock_ms(self, own_ms: float) -> float | None:
        """Return a time of this clock on the peer's clock; None before any message of the peer.

        It is early by the shortest delay of the peer's messages, and never late.
        """
        return None if self.least_ms == UNKNOWN_MS else own_ms - self.least_ms

    def record(self, sent_ms: float, now_ms: float) -> None:
        """Record a message that was sent at a time of the peer's clock and came now."""
        offset_ms = now_ms - sent_ms
        if offset_ms - self.least_ms > MAX_DELAY_MS:
            self._current_ms = self._previous_ms = UNKNOWN_MS
        if now_ms - self._rotated_ms >= WINDOW_MS:
            self._rotated_ms = now_ms
            self._previous_ms, self._current_ms = self._current_ms, UNKNOWN_MS
        self._current_ms = min(self._current_ms, offset_ms)
