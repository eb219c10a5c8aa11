"""Follow one upstream from its first call to full load, and back when it turns cold."""

from dataclasses import dataclass

from geraniumlead.cold_start.warmth_phase import WarmthPhase
from geraniumlead.upstreams.answers import (
    Cold,
    ConnectionLost,
    NotReached,
    Records,
    UpstreamAnswer,
)

UNPROVEN_AFTER_MS = 10_000.0
"""Idle time after which an upstream may have restarted unseen.

A restart under load resets connections, which is a sign. An idle upstream gives none, and
restarts of a process take seconds, so a shorter time would only cost detours.
"""

SETTLE_MS = 50.0
"""Wait between a sign of cold start and the next call.

The other owners have to hear of it and to cancel their calls first: one message within a
data centre and one cancellation, a few milliseconds each with a batching tick between.
"""

MOST_BACKOFF_MS = 1_000.0
"""Longest wait between tries of an upstream that refuses connections."""


@dataclass(slots=True)
class UpstreamWarmth:
    """Be the state machine of one upstream at one owner.

    Load pattern: an upstream restarts, or loses its caches, and falls over when it gets its
    usual load at once. Without this every restart ends in a loop of falling over. A sign of
    cold start brings it back to one call for each slot holder; a warm answer lets the limit
    double with every round of answers, so full load comes after log2(limit) rounds.
    """

    phase: WarmthPhase = WarmthPhase.UNPROVEN
    limit: int = 1
    clean_answers: int = 0
    cold_since_ms: float = float("-inf")
    ready_ms: float = float("-inf")
    proven_ms: float = float("-inf")
    backoff_ms: float = 0.0

    @property
    def takes_load(self) -> bool:
        """Return whether any owner may call, and not slot holders alone."""
        return self.phase in (WarmthPhase.WARMING, WarmthPhase.WARM)

    def note_idle(self, now_ms: float) -> None:
        """Forget what was proven when the last proof is old."""
        if self.takes_load and now_ms - self.proven_ms > UNPROVEN_AFTER_MS:
            self.phase, self.limit = WarmthPhase.UNPROVEN, 1

    def note_answer(
        self, answer: UpstreamAnswer, started_ms: float, most: int, now_ms: float
    ) -> WarmthPhase | None:
        """Take in an answer; return COLD or WARM when the other owners have to hear it."""
        match answer:
            case Records(cold=False):
                return self._note_clean(started_ms, most, now_ms)
            case Records() if self.phase is WarmthPhase.COLD:
                self.backoff_ms = 0.0
                return None
            case Records() | Cold() | ConnectionLost():
                return self.note_cold(now_ms)
            case NotReached():
                told = self.note_cold(now_ms)
                self.backoff_ms = min(MOST_BACKOFF_MS, max(SETTLE_MS, 2.0 * self.backoff_ms))
                self.ready_ms = now_ms + self.backoff_ms
                return told
        return None

    def note_cold(self, now_ms: float) -> WarmthPhase | None:
        """Go back to the start; return COLD when this is news."""
        is_news = self.phase is not WarmthPhase.COLD
        self.phase, self.limit, self.clean_answers = WarmthPhase.COLD, 1, 0
        self.cold_since_ms = now_ms
        self.ready_ms = max(self.ready_ms, now_ms + SETTLE_MS)
        return WarmthPhase.COLD if is_news else None

    def note_away(self, now_ms: float) -> None:
        """Forget what was proven of an upstream that may be sent nothing.

        Failure: an upstream leaves for a few seconds to restart and is listed again. It was
        proven warm a moment ago, so its owner sends its full share, and it falls over. What
        was started before it left proves nothing of the time after its return.
        """
        self.phase, self.limit, self.clean_answers = WarmthPhase.UNPROVEN, 1, 0
        self.cold_since_ms = now_ms

    def note_told_warm(self, now_ms: float) -> None:
        """Believe another owner that saw a warm answer, unless the sign of cold is newer."""
        if now_ms < self.cold_since_ms + SETTLE_MS:
            return
        if not self.takes_load:
            self._begin_warming()
        self.proven_ms = now_ms

    def _note_clean(self, started_ms: float, most: int, now_ms: float) -> WarmthPhase | None:
        # An answer to a call from before the restart says nothing about the time after it.
        if started_ms < self.cold_since_ms:
            return None
        self.proven_ms, self.backoff_ms = now_ms, 0.0
        match self.phase:
            case WarmthPhase.WARM:
                return None
            case WarmthPhase.WARMING:
                self._grow(most)
                return None
        self._begin_warming()
        return WarmthPhase.WARM

    def _begin_warming(self) -> None:
        self.phase, self.limit, self.clean_answers = WarmthPhase.WARMING, 1, 0

    def _grow(self, most: int) -> None:
        self.clean_answers += 1
        if self.clean_answers >= self.limit:
            self.limit, self.clean_answers = 2 * self.limit, 0
        if self.limit >= most:
            self.phase = WarmthPhase.WARM
