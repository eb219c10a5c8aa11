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
"""Idle time after which an upstream may have restarted unnoticed.

A restart under load is noticed, because it resets connections. A restart of an idle upstream
is not. Processes take seconds to restart, so a shorter time would only send calls to other
replicas without need.
"""

SETTLE_MS = 50.0
"""Delay between a sign of a cold start and the next call.

The other owners have to be notified and to cancel their calls first. This takes one message
within a data centre and one cancellation, a few milliseconds each, with a batching tick between
them.
"""

MAX_BACKOFF_MS = 1_000.0
"""Longest delay between calls to an upstream that refuses connections."""


@dataclass(slots=True)
class UpstreamWarmth:
    """The state machine of one upstream at one owner.

    Load pattern: an upstream restarts, or loses its caches, and is overloaded when it gets its
    usual load immediately. Without this class it would restart and be overloaded in a loop. A
    sign of a cold start resets the limit to one call for each slot holder. After a warm answer
    the limit doubles with every round of answers, so full load is reached after log2(limit)
    rounds.
    """

    phase: WarmthPhase = WarmthPhase.UNPROVEN
    limit: int = 1
    warm_answers: int = 0
    cold_since_ms: float = float("-inf")
    ready_ms: float = float("-inf")
    proven_ms: float = float("-inf")
    backoff_ms: float = 0.0

    @property
    def takes_load(self) -> bool:
        """Return whether every owner may call the upstream, and not its slot holders alone."""
        return self.phase in (WarmthPhase.WARMING, WarmthPhase.WARM)

    def expire_proof(self, now_ms: float) -> None:
        """Return to UNPROVEN if the last warm answer is too old."""
        if self.takes_load and now_ms - self.proven_ms > UNPROVEN_AFTER_MS:
            self.phase, self.limit = WarmthPhase.UNPROVEN, 1

    def record_answer(
        self, answer: UpstreamAnswer, started_ms: float, max_limit: int, now_ms: float
    ) -> WarmthPhase | None:
        """Record an answer. Return COLD or WARM if the other owners have to be notified."""
        match answer:
            case Records(cold=False):
                return self._record_warm_answer(started_ms, max_limit, now_ms)
            case Records() if self.phase is WarmthPhase.COLD:
                self.backoff_ms = 0.0
                return None
            case Records() | Cold() | ConnectionLost():
                return self.record_cold(now_ms)
            case NotReached():
                notice = self.record_cold(now_ms)
                self.backoff_ms = min(MAX_BACKOFF_MS, max(SETTLE_MS, 2.0 * self.backoff_ms))
                self.ready_ms = now_ms + self.backoff_ms
                return notice
        return None

    def record_cold(self, now_ms: float) -> WarmthPhase | None:
        """Record a sign of a cold start. Return COLD if the phase has changed."""
        is_change = self.phase is not WarmthPhase.COLD
        self.phase, self.limit, self.warm_answers = WarmthPhase.COLD, 1, 0
        self.cold_since_ms = now_ms
        self.ready_ms = max(self.ready_ms, now_ms + SETTLE_MS)
        return WarmthPhase.COLD if is_change else None

    def record_unusable(self, now_ms: float) -> None:
        """Return to UNPROVEN, because the upstream is not usable at present.

        Failure: an upstream leaves for a few seconds to restart and is listed again. It was
        warm a moment ago, so its owner sends its full share and overloads it. Answers to calls
        from before it left say nothing about the time after its return.
        """
        self.phase, self.limit, self.warm_answers = WarmthPhase.UNPROVEN, 1, 0
        self.cold_since_ms = now_ms

    def record_reported_warm(self, now_ms: float) -> None:
        """Record that another owner had a warm answer, unless the last sign of cold is newer."""
        if now_ms < self.cold_since_ms + SETTLE_MS:
            return
        if not self.takes_load:
            self._begin_warming()
        self.proven_ms = now_ms

    def _record_warm_answer(
        self, started_ms: float, max_limit: int, now_ms: float
    ) -> WarmthPhase | None:
        # A call that started before the restart says nothing about the time after it.
        if started_ms < self.cold_since_ms:
            return None
        self.proven_ms, self.backoff_ms = now_ms, 0.0
        match self.phase:
            case WarmthPhase.WARM:
                return None
            case WarmthPhase.WARMING:
                self._raise_limit(max_limit)
                return None
        self._begin_warming()
        return WarmthPhase.WARM

    def _begin_warming(self) -> None:
        self.phase, self.limit, self.warm_answers = WarmthPhase.WARMING, 1, 0

    def _raise_limit(self, max_limit: int) -> None:
        self.warm_answers += 1
        if self.warm_answers >= self.limit:
            self.limit, self.warm_answers = 2 * self.limit, 0
        if self.limit >= max_limit:
            self.phase = WarmthPhase.WARM
