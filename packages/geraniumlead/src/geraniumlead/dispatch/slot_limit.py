from geraniumlead.documents.upstream_entry import UpstreamEntry

HEADROOM = 1.5
"""Upper limit in equal shares. If one of three owners fails, the others can use its share."""

DECREASE_FACTOR = 0.5
MAX_PAUSE_MS = 1_000.0


class SlotLimit:
    """One owner's limit of calls in flight to an upstream, adapted by AIMD.

    Load pattern: an upstream has less capacity than it published, or its owners are not equally
    loaded. With a fixed share the upstream would shed load permanently. Without a share one
    owner would take all slots. The limit is halved when the upstream sheds a call, and grows by
    one after as many answers as the limit (additive increase, multiplicative decrease; Chiu and
    Jain, 1989, show that this converges to fair shares). Above the equal share it grows only
    while calls wait, so that an idle owner does not accumulate a high limit.
    """

    __slots__ = ("_maximum", "_share", "_value", "paused_until_ms")

    def __init__(self, entry: UpstreamEntry, owner_count: int) -> None:
        self._value = 0.0
        self.paused_until_ms = float("-inf")
        self.set_share(entry, owner_count)

    @property
    def value(self) -> int:
        """Return how many calls may be in flight."""
        return int(self._value)

    def set_share(self, entry: UpstreamEntry, owner_count: int) -> None:
        """Apply the published slots and the number of owners."""
        share = max(1, -(-entry.slots // max(1, owner_count)))
        if self._value and share == self._share:
            return
        self._share = share
        self._maximum = max(share, min(entry.slots, int(HEADROOM * share)))
        self._value = float(share)

    def record_answer(self, calls_wait: bool) -> None:
        """Grow after an answer, but above the equal share only if calls wait."""
        maximum = self._maximum if calls_wait else self._share
        if self._value < maximum:
            self._value = min(maximum, self._value + 1.0 / self._value)

    def record_shed(self, retry_after_ms: float, now_ms: float) -> None:
        """Halve the limit after a shed call. Pause if the limit is already one."""
        if self._value <= 1.0:
            self.paused_until_ms = now_ms + min(retry_after_ms, MAX_PAUSE_MS)
        self._value = max(1.0, DECREASE_FACTOR * self._value)
