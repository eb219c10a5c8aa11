FULL_READ_AFTER_MS = 2_000.0
"""Length of an outage after which the whole state is read again. Starting upstreams change their
entries with each heartbeat, and the history of hundreds of them takes more calls than the state."""

RETURN_WINDOW_MS = 3_000.0
"""Time after the first read and after an outage in which entries may still be missing: expired
entries come back within two seconds."""

NEVER_MS = float("-inf")


class StoreReadState:
    """Tracks the results of calls to the platform's store, which decide what the next call reads.

    ``needs_state`` is set when the whole state has to be read, since nothing or too little is
    known. ``has_failed`` is set when the last call failed; updates from peers do not reset it.
    """

    __slots__ = ("_failing_since_ms", "_returned_ms", "has_failed", "needs_state")

    def __init__(self) -> None:
        self._failing_since_ms: float | None = None
        self._returned_ms = NEVER_MS
        self.has_failed = False
        self.needs_state = True

    @property
    def has_answered(self) -> bool:
        """Return whether the store has ever answered."""
        return self._returned_ms > NEVER_MS

    def has_just_returned(self, now_ms: float) -> bool:
        """Return whether the store has just come back, or has just sent its whole state."""
        return now_ms - self._returned_ms < RETURN_WINDOW_MS

    def record_call(self, now_ms: float) -> None:
        """Record that a call is about to be made."""
        if (
            self._failing_since_ms is not None
            and now_ms - self._failing_since_ms >= FULL_READ_AFTER_MS
        ):
            self.needs_state = True

    def record_answer(self, is_state: bool, now_ms: float) -> None:
        """Record an answer: the whole state, or changes."""
        if is_state or self._failing_since_ms is not None:
            self._returned_ms = now_ms
        self._failing_since_ms = None
        self.has_failed = False
        if is_state:
            self.needs_state = False

    def record_failure(self, now_ms: float) -> None:
        """Record a call without a usable answer."""
        self.has_failed = True
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms

    def record_peer_update(self) -> None:
        """Record that a peer sent the missing updates.

        The store may be rejecting the calls of this instance only.
        """
        self._failing_since_ms = None
        self.needs_state = False
