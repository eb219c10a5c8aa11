"""Exponential backoff with jitter for attempts to reach the platform."""

from random import Random

INITIAL_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0
"""Below the time in which a change must be in force, so that the platform is read in time
after an outage. At this pause 22 watchers make 11 attempts a second."""


class Backoff:
    """Doubles the pause after each failure, with jitter so that readers do not retry together."""

    __slots__ = ("_max_pause_s", "_pause_s", "_random")

    def __init__(self, random: Random, max_pause_s: float = MAX_PAUSE_S) -> None:
        self._random = random
        self._max_pause_s = max_pause_s
        self._pause_s = INITIAL_PAUSE_S

    def reset(self) -> None:
        """Go back to the initial pause after a success."""
        self._pause_s = INITIAL_PAUSE_S

    def next_pause_s(self) -> float:
        """Return the time to wait before the next attempt."""
        pause_s = self._pause_s * (0.5 + self._random.random())
        self._pause_s = min(self._max_pause_s, self._pause_s * 2)
        return min(self._max_pause_s, pause_s)
