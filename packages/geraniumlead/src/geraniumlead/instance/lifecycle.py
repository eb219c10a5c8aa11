"""Follow an instance from its start to its graceful stop."""

from enum import StrEnum

from geraniumlead.settings.timing import TimingSettings


class LifecyclePhase(StrEnum):
    """Name the phases of a process."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class Lifecycle:
    """Decide when an instance is ready and when a stopping one may exit.

    A stopping instance turns unready at once and goes on taking requests for
    ``stop_notice_ms``: the balancer sends some until it has noticed, and to refuse them
    would cut off callers of a planned stop. Then it waits for the work in hand, at most
    until ``stop_bound_ms``.
    """

    __slots__ = ("_stop_asked_ms", "_timing", "phase")

    def __init__(self, timing: TimingSettings) -> None:
        self._timing = timing
        self._stop_asked_ms = 0.0
        self.phase = LifecyclePhase.STARTING

    def note_configured(self) -> None:
        """Start to serve once there is a configuration to act on."""
        if self.phase is LifecyclePhase.STARTING:
            self.phase = LifecyclePhase.SERVING

    def ask_stop(self, now_ms: float) -> bool:
        """Begin the graceful stop; False when it had begun before."""
        if self.phase is LifecyclePhase.STOPPING:
            return False
        self.phase = LifecyclePhase.STOPPING
        self._stop_asked_ms = now_ms
        return True

    def may_exit(self, work_in_hand: int, now_ms: float) -> bool:
        """Return whether a stopping instance has nothing left to wait for."""
        if self.phase is not LifecyclePhase.STOPPING:
            return False
        stopping_ms = now_ms - self._stop_asked_ms
        if stopping_ms >= self._timing.stop_bound_ms:
            return True
        return stopping_ms >= self._timing.stop_notice_ms and work_in_hand == 0

    @property
    def is_stopping(self) -> bool:
        """Return whether the graceful stop has begun."""
        return self.phase is LifecyclePhase.STOPPING

    @property
    def is_serving(self) -> bool:
        """Return whether the instance wants requests from the balancer."""
        return self.phase is LifecyclePhase.SERVING
