"""An event loop whose clock counts the time in which the machine is suspended."""

import asyncio
import time

CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Linux's steady clock that goes on while the machine is suspended; others have no such clock."""


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """An event loop on which a timer that came due in a suspension fires at its end.

    Failure: a machine is suspended for seconds. On the monotonic clock that time has not passed, so
    requests whose callers have left get as much time as before, and a configuration that is
    seconds old counts as fresh.
    """

    def time(self) -> float:
        """Return the time since the machine started, in seconds."""
        return time.clock_gettime(CLOCK)


def run(main) -> None:
    """Run a coroutine to its end on a new loop, as ``asyncio.run`` does."""
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        runner.run(main)
