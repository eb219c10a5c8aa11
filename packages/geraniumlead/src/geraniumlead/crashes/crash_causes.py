from collections import OrderedDict

from geraniumlead.crashes.crash_record import Crash

SENT_TOGETHER_MS = 100.0
"""Time within which attempts at an upstream may have been in progress together, and how inexactly
the times of other instances are known."""

MAX_PROCESSES = 4_000
"""Number of lost upstream processes kept, the latest ones; each takes some hundred bytes."""


class CrashCauses:
    """The requests that each lost upstream process had, and which of them may have ended it.

    Load pattern: other requests are at an upstream while one crashes it. Until the entry of an
    upstream that fell silent lapses, it even gets new ones of all kinds. The first ones it got are
    the possible causes; those sent later went to an upstream that was gone. Once a request is known
    to crash upstreams, the processes that it had are explained, and the others are cleared of them.
    """

    __slots__ = ("_explained", "_sent_ms")

    def __init__(self) -> None:
        self._sent_ms: OrderedDict[int, dict[int, float]] = OrderedDict()
        self._explained: OrderedDict[int, int] = OrderedDict()

    def find_explanation(self, process: int) -> int | None:
        """Return the request that is known to have ended a process; None if none is."""
        return self._explained.get(process)

    def requests_of(self, process: int) -> set[int]:
        """Return the requests that may have ended a process."""
        return set(self._sent_ms.get(process, ()))

    def add(self, fingerprint: int, crash: Crash) -> bool:
        """Add a request that a lost process had; return whether it may have ended the process."""
        sent_ms = self._sent_ms.setdefault(crash.process, {})
        if crash.is_silent and _is_too_late(crash.sent_ms, sent_ms):
            return False
        sent_ms[fingerprint] = min(crash.sent_ms, sent_ms.get(fingerprint, crash.sent_ms))
        if len(self._sent_ms) > MAX_PROCESSES:
            self._sent_ms.popitem(last=False)
        return True

    def pop_too_late(self, crash: Crash) -> list[int]:
        """Remove and return the requests that were sent after a silent upstream was gone."""
        sent_ms = self._sent_ms.get(crash.process, {})
        too_late = [other for other, at_ms in sent_ms.items() if _is_too_late(at_ms, sent_ms)]
        for fingerprint in too_late:
            del sent_ms[fingerprint]
        return too_late

    def explain_process(self, process: int, fingerprint: int) -> list[int]:
        """Record the request that ended a process; return the others, which are cleared of it."""
        self._explained[process] = fingerprint
        if len(self._explained) > MAX_PROCESSES:
            self._explained.popitem(last=False)
        return [other for other in self._sent_ms.pop(process, ()) if other != fingerprint]

    def processes_of(self, fingerprint: int) -> list[int]:
        """Return the processes that a request may have ended."""
        return [process for process, had in self._sent_ms.items() if fingerprint in had]


def _is_too_late(at_ms: float, sent_ms: dict[int, float]) -> bool:
    return bool(sent_ms) and at_ms > min(sent_ms.values()) + SENT_TOGETHER_MS
