"""Find what stands twice."""

from collections.abc import Iterable


def find_repeated(values: Iterable) -> list[tuple[int, object]]:
    """Return position and value of everything that occurred before."""
    seen = set()
    repeated = []
    for position, value in enumerate(values):
        if value in seen:
            repeated.append((position, value))
        seen.add(value)
    return repeated
