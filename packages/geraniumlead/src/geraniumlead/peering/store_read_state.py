"""Track the answers of the platform's store, and tell its outages from what only looks like one.

Load pattern: instances restart, are cut off or are turned away by the store while it serves the
others, and upstreams leave meanwhile; or the store is away for all and live entries lapse.
"""

from geraniumlead.peering.store_return import ReturnCause, StoreReturn
from geraniumlead.published_upstreams import LAPSE_HOLD_MS

FULL_READ_AFTER_MS = 2_000.0
"""Length of an outage after which the whole state is read again. Starting upstreams change their
entries with each heartbeat, and the history of hundreds of them takes more calls than the state."""

LAPSE_OUTAGE_MS = 2_500.0
"""Time without an answer to anybody after which entries may have lapsed. Upstreams renew their
entries about once a second, and an entry lapses after three missed renewals."""

BOUND_SLACK_MS = 800.0
"""Part of the bound that is left for the read after the hold, messages and timers."""

RETURN_WINDOW_MS = 3_000.0
"""Time after an outage, or after everything was read anew, in which entries may still be missing:
expired entries come back within two seconds."""

NEVER_MS = float("-inf")


class StoreReadState:
    """Tracks the results of calls to the platform's store, which decide what the next call reads.

    ``needs_state`` is set when the whole state has to be read, since nothing or too little is
    known. ``has_failed`` is set when the last call failed; updates from peers do not reset it.
    ``returned_ms`` is when the store came back from its latest outage, as far as is known here.

    An outage is a time in which the store answered nobody. That is known by failed calls, or from a
    peer that had such, and only if no answer to anybody is known of for LAPSE_OUTAGE_MS before. It
    is suspected when those who read the store for this instance were silent for that long.

    Failure: the first read of a process that restarts, a whole read since the history was gone, or
    a call of one instance that failed was taken for the end of an outage. Its peers, which knew
    better, held removals up, and went on sending to upstreams that were gone.
    """

    __slots__ = (
        "_bound_ms",
        "_failing_since_ms",
        "_is_overdue",
        "_known_ms",
        "_renewed_ms",
        "has_failed",
        "needs_state",
        "returned_ms",
    )

    def __init__(self, bound_ms: float) -> None:
        """Track the calls of an instance that has to act on changes within ``bound_ms``."""
        self._bound_ms = bound_ms
        self._is_overdue = False
        self._failing_since_ms: float | None = None
        self._known_ms = NEVER_MS
        self._renewed_ms = NEVER_MS
        self.returned_ms = NEVER_MS
        self.has_failed = False
        self.needs_state = True

    @property
    def has_answered(self) -> bool:
        """Return whether the store has ever answered."""
        return self._renewed_ms > NEVER_MS

    def has_just_returned(self, now_ms: float) -> bool:
        """Return whether the store has just come back from an outage."""
        return now_ms - self.returned_ms < RETURN_WINDOW_MS

    def may_lack_entries(self, now_ms: float) -> bool:
        """Return whether entries may be missing from what was read, as after an outage."""
        return now_ms - self._renewed_ms < RETURN_WINDOW_MS

    def record_call(self, now_ms: float, is_overdue: bool = False) -> None:
        """Record that a call is about to be made.

        It ``is_overdue`` if it is made since the instances that read the store are silent.
        """
        self._is_overdue = is_overdue
        if (
            self._failing_since_ms is not None
            and now_ms - self._failing_since_ms >= FULL_READ_AFTER_MS
        ):
            self.needs_state = True

    def record_answer(self, is_state: bool, as_of_ms: float, now_ms: float) -> StoreReturn | None:
        """Record an answer: the whole state, or changes; return what it may look like the end of.

        The store is known to have answered so at ``as_of_ms``.
        """
        cause = self._cause_of_answer(is_state, now_ms)
        found = None if cause is None else self._build_return(cause, now_ms)
        if cause is not None:
            self._renewed_ms = now_ms
        if cause is ReturnCause.OUTAGE:
            self.returned_ms = now_ms
        elif cause is ReturnCause.SUSPECTED_OUTAGE:
            self.returned_ms = min(now_ms, self._latest_suspected_return_ms())
        self._failing_since_ms = None
        self.has_failed = False
        self._record_known(as_of_ms)
        if is_state:
            self.needs_state = False
        return found

    def record_failure(self, now_ms: float) -> None:
        """Record a call without a usable answer."""
        self.has_failed = True
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms

    def record_peer_update(self, as_of_ms: float) -> None:
        """Record that a peer sent the missing updates, which it read at ``as_of_ms``.

        The store may be rejecting the calls of this instance only.
        """
        self._failing_since_ms = None
        self.needs_state = False
        self._record_known(as_of_ms)

    def record_peer_outage(self, returned_ms: float, now_ms: float) -> StoreReturn | None:
        """Record that a peer saw the store return from an outage; return what that means here.

        It is believed only if nothing is known here of an answer in the time before. None is
        returned for an outage that is known already.
        """
        if self.returned_ms > NEVER_MS and returned_ms - self.returned_ms < LAPSE_OUTAGE_MS:
            return None
        if returned_ms - self._known_ms < LAPSE_OUTAGE_MS:
            return self._build_return(ReturnCause.REFUTED, returned_ms)
        found = self._build_return(ReturnCause.PEER_OUTAGE, returned_ms)
        self.returned_ms = min(returned_ms, now_ms)
        return found

    def _cause_of_answer(self, is_state: bool, now_ms: float) -> ReturnCause | None:
        was_unknown = now_ms - self._known_ms >= LAPSE_OUTAGE_MS
        if self._failing_since_ms is not None:
            return ReturnCause.OUTAGE if was_unknown else ReturnCause.FAILED_CALLS
        if self._is_overdue and self.has_answered and was_unknown:
            return ReturnCause.SUSPECTED_OUTAGE
        if not is_state:
            return None
        return ReturnCause.STATE_READ if self.has_answered else ReturnCause.FIRST_READ

    def _latest_suspected_return_ms(self) -> float:
        """Return the latest return after which the hold of removals still ends within the bound.

        What was removed since the last answer that is known of may have been removed just after it,
        if there was no outage.
        """
        return self._known_ms + self._bound_ms - BOUND_SLACK_MS - LAPSE_HOLD_MS

    def _build_return(self, cause: ReturnCause, now_ms: float) -> StoreReturn:
        unknown_ms = None if self._known_ms == NEVER_MS else now_ms - self._known_ms
        return StoreReturn(cause, unknown_ms)

    def _record_known(self, as_of_ms: float) -> None:
        self._known_ms = max(self._known_ms, as_of_ms)
