"""Adapt one owner's share of an upstream's slots to what the upstream sheds."""

from geraniumlead.documents.upstream_entry import UpstreamEntry

HEADROOM = 1.5
"""Most calls over the equal share; one of three owners may fail and its share be used."""

DECREASE = 0.5
MOST_PAUSE_MS = 1_000.0


class SlotLimit:
    """Bound the calls in flight: additive increase, multiplicative decrease.

    Load pattern: an upstream that can bear less than it published, or owners that are not
    equally loaded. With a fixed share the first is shed on and on, with none an owner takes
    all. The limit halves when the upstream sheds and grows by one for each limit's worth of
    answers (Chiu and Jain, 1989, on why this converges to fair shares), but above the equal
    share only while calls wait, so that an idle owner does not save up.
    """

    __slots__ = ("_most", "_share", "_value", "paused_until_ms")

    def __init__(self, entry: UpstreamEntry, owner_count: int) -> None:
        self._value = 0.0
        self.paused_until_ms = float("-inf")
        self.set_share(entry, owner_count)

    @property
    def value(self) -> int:
        """Return the calls that may be in flight."""
        return int(self._value)

    def set_share(self, entry: UpstreamEntry, owner_count: int) -> None:
        """Take over the published slots and the number of owners."""
        share = max(1, -(-entry.slots // max(1, owner_count)))
        if self._value and share == self._share:
            return
        self._share = share
        self._most = max(share, min(entry.slots, int(HEADROOM * share)))
        self._value = float(share)

    def note_clean(self, calls_wait: bool) -> None:
        """Grow after an answer, above the share only when calls wait."""
        most = self._most if calls_wait else self._share
        if self._value < most:
            self._value = min(most, self._value + 1.0 / self._value)

    def note_shed(self, retry_after_ms: float, now_ms: float) -> None:
        """Halve; pause when there is nothing left to halve."""
        if self._value <= 1.0:
            self.paused_until_ms = now_ms + min(retry_after_ms, MOST_PAUSE_MS)
        self._value = max(1.0, DECREASE * self._value)
