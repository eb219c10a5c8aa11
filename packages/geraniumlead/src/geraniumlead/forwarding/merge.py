from collections.abc import Iterable
from dataclasses import replace

from geraniumlead.forwarding.results import Completed

RECORD_BYTES = 16

MAX_KEPT_BYTES = 16_384
"""Longest answer of a shard that is kept whole until its query ends. A thousand shards would
otherwise keep a thousand times the longest answer."""


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


def shorten_answer(answer: Completed, count: int) -> Completed:
    """Return the answer of a shard with its ``count`` greatest records only, if it is long."""
    if len(answer.body) <= MAX_KEPT_BYTES:
        return answer
    return replace(answer, body=merge_greatest((answer.body,), count))
