from collections.abc import Iterable

RECORD_BYTES = 16


def merge_greatest(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the ``count`` greatest records of all bodies, greatest first.

    Equal records are all kept; trailing bytes that are shorter than a record are ignored.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:count])
