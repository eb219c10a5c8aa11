from enum import StrEnum

from geraniumlead.settings.timing import TimingSettings


class LifecyclePhase(StrEnum):
    """The phases of an instance."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class Lifecycle:
    """Decides when an instance is ready and when a stopping one may exit.

    A stopping instance becomes unready immediately but accepts requests for
    ``stop_notice_ms``: the load balancer sends requests until it notices, and refusing them
    would make a planned shutdown fail callers. It then waits for the work in progress, until
    ``stop_bound_ms`` at the latest.
    """

    __slots__ = ("_stop_began_ms", "_timing", "phase")

    def __init__(self, timing: TimingSettings) -> None:
        self._timing = timing
        self._stop_began_ms = 0.0
        self.phase = LifecyclePhase.STARTING

    def start_serving(self) -> None:
        """Enter the serving phase once the instance has a configuration; no effect later."""
        if self.phase is LifecyclePhase.STARTING:
            self.phase = LifecyclePhase.SERVING

    def begin_stop(self, now_ms: float) -> bool:
        """Begin the graceful shutdown; return False if it had already begun."""
        if self.phase is LifecyclePhase.STOPPING:
            return False
        self.phase = LifecyclePhase.STOPPING
        self._stop_began_ms = now_ms
        return True

    def may_exit(self, work_in_progress: int, now_ms: float) -> bool:
        """Return whether a stopping instance has finished its work or reached its time limit."""
        if self.phase is not LifecyclePhase.STOPPING:
            return False
        stopping_ms = now_ms - self._stop_began_ms
        if stopping_ms >= self._timing.stop_bound_ms:
            return True
        return stopping_ms >= self._timing.stop_notice_ms and work_in_progress == 0

    @property
    def is_stopping(self) -> bool:
        """Return whether the graceful shutdown has begun."""
        return self.phase is LifecyclePhase.STOPPING

    @property
    def is_serving(self) -> bool:
        """Return whether the load balancer should send requests to this instance."""
        return self.phase is LifecyclePhase.SERVING
