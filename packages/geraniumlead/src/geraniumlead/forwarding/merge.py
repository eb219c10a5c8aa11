"""Merge the records of several shards."""

from collections.abc import Iterable

RECORD_BYTES = 16


def merge_greatest(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the ``count`` greatest records of all bodies, greatest first.

    Equal records all count; a rest shorter than a record is none.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:count])
