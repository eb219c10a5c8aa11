from collections.abc import Iterable


def find_duplicates(values: Iterable) -> list[tuple[int, object]]:
    """Return position and value of each item that equals an earlier one."""
    seen = set()
    repeated = []
    for position, value in enumerate(values):
        if value in seen:
            repeated.append((position, value))
        seen.add(value)
    return repeated
