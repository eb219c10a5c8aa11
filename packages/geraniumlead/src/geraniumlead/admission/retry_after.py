"""Compute the time after which a refused caller should retry."""

from random import Random

MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 30_000.0

SPREAD_FACTOR = 1.0
"""Longest random addition, as a multiple of the drain time."""


def spread_retry_after(drain_ms: float, random: Random) -> float:
    """Return a random time between once and twice the drain time, which is clamped first.

    Load pattern: a burst is refused within milliseconds. If all callers got the same time,
    they would return as the same burst. Spread over an interval as long as the drain time, they
    return at half of the rate at which they are served.
    """
    base_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, drain_ms))
    return base_ms * (1.0 + SPREAD_FACTOR * random.random())
