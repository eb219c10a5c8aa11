"""Upstream processes that were lost under a request."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from xxhash import xxh32_intdigest

LAPSE_WINDOW_MS = 5_000.0
"""Time within which the entry of an upstream that fell silent lapses: three renewals, and the
reading of the store."""

MIN_RESTART_MS = 1_000.0
"""Time that an upstream needs at least to be back after a crash."""

MAX_UPSTREAMS = 2_000
MAX_ATTEMPTS_PER_UPSTREAM = 8
"""Numbers of upstreams and of attempts kept, the latest ones."""


def hash_process(upstream_id: str, started_ms: int | None) -> int:
    """Return a number that is the same on every instance for one process of an upstream."""
    return xxh32_intdigest(f"{upstream_id} {started_ms}".encode())


def hash_lost_process(upstream_id: str, started_ms: int | None, sent_ms: float) -> int:
    """Return the number of a process that was lost with a request.

    An upstream that doesn't tell when it started is taken for a new process each second.
    """
    if started_ms is not None:
        return hash_process(upstream_id, started_ms)
    return hash_process(upstream_id, int(sent_ms // MIN_RESTART_MS))


@dataclass(frozen=True, slots=True)
class UnansweredAttempt:
    """An attempt that was given up without an answer."""

    fingerprint: int
    sent_ms: float
    ended_ms: float


class UnansweredAttempts:
    """The latest attempts that were given up, by the upstream process that had them.

    Load pattern: a request makes each upstream fall silent that runs it. No connection is lost;
    the request is given up by a timeout, since a part of it is late, or since its caller leaves.
    Only later, when the upstream's entry lapses, is it known that the process was lost.
    """

    __slots__ = ("_attempts",)

    def __init__(self) -> None:
        self._attempts: OrderedDict[int, deque[UnansweredAttempt]] = OrderedDict()

    def add(self, process: int, fingerprint: int, sent_ms: float, now_ms: float) -> None:
        """Add an attempt that is given up now."""
        attempts = self._attempts.setdefault(process, deque(maxlen=MAX_ATTEMPTS_PER_UPSTREAM))
        attempts.append(UnansweredAttempt(fingerprint, sent_ms, now_ms))
        self._attempts.move_to_end(process)
        if len(self._attempts) > MAX_UPSTREAMS:
            self._attempts.popitem(last=False)

    def pop(self, process: int, now_ms: float) -> list[UnansweredAttempt]:
        """Remove and return the attempts that a lost process had shortly before."""
        attempts = self._attempts.pop(process, ())
        return [found for found in attempts if now_ms - found.ended_ms <= LAPSE_WINDOW_MS]
