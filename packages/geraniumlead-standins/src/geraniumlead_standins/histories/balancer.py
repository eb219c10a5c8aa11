from random import Random

from geraniumlead_standins.histories.recorded_run import RecordedRun

POLL_INTERVAL_MS = 1_000.0


class Balancer:
    """Chooses entry instances as the platform's load balancer does.

    It polls readiness once a second and uses the instances that were ready then.
    """

    def __init__(self, run: RecordedRun, random: Random) -> None:
        self._run = run
        self._random = random
        self._ready: list[str] = []
        self._poll()

    def choose(self) -> str:
        """Return an instance that was ready at the last poll; any instance if none was."""
        return self._random.choice(self._ready or sorted(self._run.instances))

    def _poll(self) -> None:
        self._ready = [
            name
            for name, host in sorted(self._run.instances.items())
            if host.is_alive and not host.is_frozen and host.instance.parts.is_ready
        ]
        self._run.queue.add(self._run.now_ms + POLL_INTERVAL_MS, self._poll)
