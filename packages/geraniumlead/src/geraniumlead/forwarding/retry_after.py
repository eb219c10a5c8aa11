"""Say when a refused caller may come back."""

from random import Random

FIRST_MS = 150.0
SPREAD_MS = 350.0
"""Refused callers return over a third of a second: room in an upstream's queue comes within
some tens of milliseconds, another upstream within some seconds, and callers who all return at
once would find the same queue."""


class RetryAfter:
    """Draw the time after which a refused caller may return."""

    __slots__ = ("_random",)

    def __init__(self, random: Random) -> None:
        self._random = random

    def draw(self) -> float:
        """Return a time in milliseconds."""
        return FIRST_MS + SPREAD_MS * self._random.random()
