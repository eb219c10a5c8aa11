from random import Random

MIN_MS = 150.0
SPREAD_MS = 350.0
"""Refused callers retry spread over a third of a second. An upstream's queue has room again within
some tens of milliseconds, and another upstream is available within some seconds. Callers that all
retried at once would meet the same full queue."""


class RetryAfter:
    """A source of random delays after which refused callers may retry."""

    __slots__ = ("_random",)

    def __init__(self, random: Random) -> None:
        self._random = random

    def draw(self) -> float:
        """Return a random delay in milliseconds."""
        return MIN_MS + SPREAD_MS * self._random.random()
