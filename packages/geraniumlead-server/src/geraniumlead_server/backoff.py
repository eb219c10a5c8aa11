"""Space out the attempts to reach the platform."""

from random import Random

FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0
"""Below the time in which a change must be in force, so that a platform that came back is
heard in time; 22 watchers then make 11 attempts a second."""


class Backoff:
    """Double the pause after each failure, spread so that readers do not return together."""

    __slots__ = ("_longest_s", "_pause_s", "_random")

    def __init__(self, random: Random, longest_s: float = LONGEST_PAUSE_S) -> None:
        self._random = random
        self._longest_s = longest_s
        self._pause_s = FIRST_PAUSE_S

    def reset(self) -> None:
        """Begin anew after a success."""
        self._pause_s = FIRST_PAUSE_S

    def next_pause_s(self) -> float:
        """Return the time to wait before the next attempt."""
        pause_s = self._pause_s * (0.5 + self._random.random())
        self._pause_s = min(self._longest_s, self._pause_s * 2)
        return min(self._longest_s, pause_s)
