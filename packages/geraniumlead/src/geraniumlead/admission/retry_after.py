"""Compute when a refused caller should come back."""

from random import Random

LEAST_MS = 50.0
MOST_MS = 30_000.0

SPREAD = 1.0
"""Longest addition to the drain time, in parts of it."""


def spread_retry_after(drain_ms: float, random: Random) -> float:
    """Return a time between once and twice the drain time, within bounds.

    Load pattern: a burst is refused within milliseconds. If all callers were told the same
    time they would return as the same burst. Spread over a time as long as the one in which
    the queue drains, they return at half of the rate at which they are served.
    """
    base_ms = min(MOST_MS, max(LEAST_MS, drain_ms))
    return base_ms * (1.0 + SPREAD * random.random())
