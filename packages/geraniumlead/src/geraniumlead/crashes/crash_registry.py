from collections import OrderedDict

from geraniumlead.crashes.crash_record import MAX_QUARANTINE_MS, CrashRecord

MAX_SUSPECTS = 2_000
MAX_QUARANTINED = 2_000
"""Maximum numbers of requests kept, the latest ones, some hundred bytes each. They are kept apart,
so that a flood of requests that crash one upstream each displaces none that is refused."""

FORGET_AFTER_MS = 2.0 * MAX_QUARANTINE_MS
"""Time after its last crash after which a refused request is forgotten."""


class CrashRegistry:
    """The records of the requests under which upstreams were lost, and which of them are refused.

    ``digest`` is a number that two instances have in common if they refuse the same requests, and
    ``suspected`` holds the requests that are suspected or refused.
    """

    __slots__ = ("_quarantined", "_suspects", "digest", "suspected")

    def __init__(self) -> None:
        self._suspects: OrderedDict[int, CrashRecord] = OrderedDict()
        self._quarantined: OrderedDict[int, CrashRecord] = OrderedDict()
        self.digest = 0
        self.suspected: set[int] = set()

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._suspects) + len(self._quarantined)

    def find(self, fingerprint: int) -> CrashRecord | None:
        """Return the record of a request; None if there is none."""
        return self._quarantined.get(fingerprint) or self._suspects.get(fingerprint)

    def find_suspect(self, fingerprint: int) -> CrashRecord | None:
        """Return the record of a request that is not refused; None if there is none."""
        return self._suspects.get(fingerprint)

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request is refused."""
        return fingerprint in self._quarantined

    def quarantined(self) -> list[int]:
        """Return the requests that are refused, the last changed ones first."""
        return list(reversed(self._quarantined))

    def find_or_add(self, fingerprint: int) -> CrashRecord:
        """Return the record of a request; add an empty one if there is none."""
        record = self.find(fingerprint)
        if record is None:
            record = self._suspects[fingerprint] = CrashRecord()
            if len(self._suspects) > MAX_SUSPECTS:
                oldest, _ = self._suspects.popitem(last=False)
                self.suspected.discard(oldest)
        return record

    def update(self, fingerprint: int) -> None:
        """Note whether a request is suspected, after its crashes have changed."""
        record = self.find(fingerprint)
        if record is not None and record.is_suspected:
            self.suspected.add(fingerprint)
        else:
            self.suspected.discard(fingerprint)

    def refresh(self, fingerprint: int) -> None:
        """Mark a record as the last one that changed."""
        records = self._quarantined if fingerprint in self._quarantined else self._suspects
        if fingerprint in records:
            records.move_to_end(fingerprint)

    def quarantine(self, fingerprint: int, quarantined_ms: float, now_ms: float) -> CrashRecord:
        """Refuse a request from now on; return its record."""
        record = self._suspects.pop(fingerprint, None) or CrashRecord()
        record.quarantined_ms = quarantined_ms
        self._quarantined[fingerprint] = record
        self.suspected.add(fingerprint)
        self.digest ^= fingerprint
        self._forget_oldest(now_ms)
        return record

    def remove(self, fingerprint: int) -> bool:
        """Remove the record of a request; return False if there is none."""
        self.suspected.discard(fingerprint)
        if self._suspects.pop(fingerprint, None) is not None:
            return True
        if self._quarantined.pop(fingerprint, None) is None:
            return False
        self.digest ^= fingerprint
        return True

    def remove_if_empty(self, fingerprint: int) -> None:
        """Remove the record of a request that is not refused and has no crash left."""
        record = self._suspects.get(fingerprint)
        if record is not None and record.is_empty:
            self.remove(fingerprint)

    def withdraw(self, fingerprint: int, process: int) -> None:
        """Remove the crash of a process from a request that did not cause it."""
        record = self._suspects.get(fingerprint)
        if record is not None:
            record.withdraw(process)
            self.update(fingerprint)
            self.remove_if_empty(fingerprint)

    def _forget_oldest(self, now_ms: float) -> None:
        while self._quarantined:
            fingerprint, record = next(iter(self._quarantined.items()))
            is_old = now_ms - record.crashed_ms > FORGET_AFTER_MS
            if not is_old and len(self._quarantined) <= MAX_QUARANTINED:
                return
            self.remove(fingerprint)
