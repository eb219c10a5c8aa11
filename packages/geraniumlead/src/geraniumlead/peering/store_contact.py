"""Remember when the platform's store answered this instance, and when it did not."""

FAR_BEHIND_MS = 2_000.0
"""Outage after which everything is read anew. Upstreams that start change their entries with each
heartbeat, and the history of hundreds takes more calls than the state."""

RETURN_MS = 3_000.0
"""Time after the first reading and after an outage in which entries may still be missing: what had
lapsed comes back within two seconds."""

NEVER_MS = float("-inf")


class StoreContact:
    """Say what the failures and answers of calls to the store mean for the next call.

    ``needs_state`` says that the state has to be read, since nothing or too little is known;
    ``has_failed`` that the last call failed, which what peers tell does not change.
    """

    __slots__ = ("_lost_ms", "_returned_ms", "has_failed", "needs_state")

    def __init__(self) -> None:
        self._lost_ms: float | None = None
        self._returned_ms = NEVER_MS
        self.has_failed = False
        self.needs_state = True

    @property
    def has_answered(self) -> bool:
        """Return whether the store has ever answered."""
        return self._returned_ms > NEVER_MS

    def has_returned(self, now_ms: float) -> bool:
        """Return whether the store has just come back."""
        return now_ms - self._returned_ms < RETURN_MS

    def note_asking(self, now_ms: float) -> None:
        """Note that a call is about to be made."""
        if self._lost_ms is not None and now_ms - self._lost_ms >= FAR_BEHIND_MS:
            self.needs_state = True

    def note_answered(self, is_state: bool, now_ms: float) -> None:
        """Note an answer: the state, or what changed."""
        if is_state or self._lost_ms is not None:
            self._returned_ms = now_ms
        self._lost_ms = None
        self.has_failed = False
        if is_state:
            self.needs_state = False

    def note_failed(self, now_ms: float) -> None:
        """Note a call without an answer that can be used."""
        self.has_failed = True
        if self._lost_ms is None:
            self._lost_ms = now_ms

    def note_told(self) -> None:
        """Note that a peer told what was missing: the store may turn only this instance away."""
        self._lost_ms = None
        self.needs_state = False
