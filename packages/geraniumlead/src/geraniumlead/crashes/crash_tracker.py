from collections import OrderedDict

from geraniumlead.crashes.crash_causes import CrashCauses
from geraniumlead.crashes.crash_record import (
    CLOCK_SLACK_MS,
    CRASH_LIFETIME_MS,
    MAX_QUARANTINE_MS,
    NEVER_MS,
    PROBE_INTERVAL_MS,
    Crash,
    CrashRecord,
)
from geraniumlead.hashing import hash_text
from geraniumlead.peering.messages import CrashReport

MAX_SUSPECTS = 2_000
MAX_QUARANTINED = 2_000
"""Maximum numbers of requests kept, the latest ones, some hundred bytes each. They are kept apart,
so that a flood of requests that crash one upstream each displaces none that is refused."""

MAX_ANSWERED = 5_000
"""Number of requests of which the last answer is kept, the latest ones; some hundred bytes each."""

FORGET_AFTER_MS = 2.0 * MAX_QUARANTINE_MS
"""Time after its last crash after which a refused request is forgotten."""

PROBE_SPREAD_MS = 10_000.0
"""Time over which instances are spread at the end of a quarantine, so that hardly two of them send
the request at the same moment."""

PROVEN_MS = 600_000.0
"""Time for which an answer proves a request harmless; one may turn bad as the upstreams change."""

CONFIRMATION_MS = 500.0
"""Time after which peers have told of the requests that a lost upstream had."""


class CrashTracker:
    """Decides which requests crash upstreams, from what this instance and its peers have seen.

    Load pattern: one request crashes each upstream that begins to run it, and comes again with the
    same path and body, at any instance. Each try makes an upstream, or a replica of each shard,
    unavailable to all others for seconds.

    Other requests at the same upstream lose their connection too, and when a data centre loses
    power all do. So the crashes since the last answer count, no matter who got it, and only those
    of several moments: a harmful request never gets an answer, and an outage is one moment.

    The times of what peers tell are converted to this instance's clock before it is merged, and
    merging is idempotent and commutative, so reports may come late, twice or by any way.
    """

    __slots__ = (
        "_answered_ms",
        "_causes",
        "_changed",
        "_checks",
        "_own_id",
        "_quarantined",
        "_suspects",
        "digest",
    )

    def __init__(self, own_id: str = "") -> None:
        self._own_id = own_id
        self._suspects: OrderedDict[int, CrashRecord] = OrderedDict()
        self._quarantined: OrderedDict[int, CrashRecord] = OrderedDict()
        self._answered_ms: OrderedDict[int, float] = OrderedDict()
        self._causes = CrashCauses()
        self._checks: list[tuple[float, int]] = []
        self._changed: dict[int, None] = {}
        self.digest = 0
        """A number that two instances have in common if they refuse the same requests."""

    def __len__(self) -> int:
        """Return under how many requests upstreams were lost."""
        return len(self._suspects) + len(self._quarantined)

    def find(self, fingerprint: int) -> CrashRecord | None:
        """Return what is known of a request; None if no upstream was lost under it."""
        return self._quarantined.get(fingerprint) or self._suspects.get(fingerprint)

    def is_suspected(self, fingerprint: int) -> bool:
        """Return whether upstreams should be risked for a request only one at a time."""
        record = self.find(fingerprint)
        return record is not None and record.is_suspected

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request is refused; it doesn't count as a try."""
        return fingerprint in self._quarantined

    def was_answered(self, fingerprint: int) -> bool:
        """Return whether an answer to the request is known, here or at a peer."""
        return fingerprint in self._answered_ms

    def quarantined(self) -> list[int]:
        """Return the requests that are refused, the last changed ones first."""
        return list(reversed(self._quarantined))

    def may_start(self, fingerprint: int, now_ms: float) -> bool:
        """Return whether a new try of a request may be sent.

        A suspected request is sent again when its loss would tell something new, one try at a time.
        A refused one is sent once more after its quarantine. Peers are told of it, so that no other
        instance does the same.
        """
        record = self.find(fingerprint)
        if record is None or not record.is_suspected:
            return True
        if now_ms < record.refused_until_ms:
            return False
        if record.is_quarantined:
            if now_ms < record.refused_until_ms + self._probe_delay_ms(fingerprint):
                return False
            self._mark_changed(fingerprint, record)
        record.probed_ms = now_ms
        return True

    def record_lost(self, fingerprint: int, crash: Crash, now_ms: float) -> CrashRecord | None:
        """Record that an upstream process was lost under a request that was sent to it.

        Return what is known of the request, or None if the loss has another cause.
        """
        if not self._may_be_cause(fingerprint, crash):
            return None
        record = self.find(fingerprint)
        if record is None:
            record = self._add_suspect(fingerprint)
        record.told_by = None
        if record.is_quarantined:
            self._explain(crash.process, fingerprint)
            self._record_crash_in_quarantine(fingerprint, record, crash, now_ms)
        elif record.add(crash, self._is_confirmed(fingerprint, crash)):
            self._drop_old(record, now_ms)
            self._check(fingerprint, record, now_ms)
            if len(record.all_crashes()) > 1:
                self._mark_changed(fingerprint, record)
        return record

    def record_failed(self, fingerprint: int) -> None:
        """Record that a request ended without any answer; peers are told of its crashes."""
        record = self.find(fingerprint)
        if record is not None and not record.is_quarantined:
            self._mark_changed(fingerprint, record)

    def record_answered(self, fingerprint: int, now_ms: float) -> None:
        """Record that an upstream answered a request, which clears it."""
        self._set_answered(fingerprint, now_ms)
        if self._suspects.pop(fingerprint, None) is not None:
            self._changed[fingerprint] = None
        elif fingerprint in self._quarantined:
            self._release(fingerprint)
            self._changed[fingerprint] = None

    def report(self, fingerprint: int, now_ms: float) -> CrashReport:
        """Return what peers should know of a request."""
        record = self.find(fingerprint)
        answered_age_ms = _age_ms(self._answered_ms.get(fingerprint), now_ms)
        if record is None:
            return CrashReport(fingerprint, answered_age_ms=answered_age_ms)
        return CrashReport(
            fingerprint,
            crashes=tuple(
                (
                    crash.process,
                    _age_ms(crash.sent_ms, now_ms),
                    _age_ms(crash.lost_ms, now_ms),
                    crash.is_silent,
                )
                for crash in record.all_crashes()
            ),
            quarantined_age_ms=_age_ms(record.quarantined_ms, now_ms),
            probed_age_ms=_age_ms(record.probed_ms, now_ms),
            failed_probes=record.failed_probes,
            answered_age_ms=answered_age_ms,
        )

    def merge(self, report: CrashReport, sender_id: str, now_ms: float) -> bool:
        """Merge what a peer knows of a request; return whether that was new here.

        ``now_ms`` is when the report was made, on this clock. What is new is told on.
        """
        fingerprint = report.fingerprint
        is_new = self._merge_answer(fingerprint, report, now_ms)
        cleared_until_ms = self._answered_ms.get(fingerprint, NEVER_MS) + CLOCK_SLACK_MS
        if report.answered_age_ms is None and self._is_proven(fingerprint, now_ms):
            self._changed[fingerprint] = None
        crashes = [
            Crash(process, now_ms - sent_age_ms, now_ms - lost_age_ms, is_silent)
            for process, sent_age_ms, lost_age_ms, is_silent in report.crashes
        ]
        age_ms = report.quarantined_age_ms
        if age_ms is not None and now_ms - age_ms > cleared_until_ms:
            for crash in crashes:
                self._causes.add(fingerprint, crash)
            is_new |= self._merge_quarantine(report, sender_id, now_ms)
        oldest_ms = max(cleared_until_ms, now_ms - CRASH_LIFETIME_MS)
        for crash in crashes:
            if crash.lost_ms > oldest_ms:
                is_new |= self._merge_crash(fingerprint, crash, sender_id, now_ms)
        if is_new:
            self._changed[fingerprint] = None
        return is_new

    def drain_changed(self) -> list[int]:
        """Return the requests of which peers should be told anew, and clear the list."""
        changed, self._changed = list(self._changed), {}
        return changed

    def wake(self, now_ms: float) -> None:
        """Judge crashes that may have another cause, now that peers have told of theirs."""
        due = [entry for entry in self._checks if entry[0] <= now_ms]
        self._checks = [entry for entry in self._checks if entry[0] > now_ms]
        # The request with most crashes explains those that others share with it.
        fingerprints = {fingerprint for _, fingerprint in due}
        for fingerprint in sorted(fingerprints, key=self._count_crashes, reverse=True):
            record = self._suspects.get(fingerprint)
            if record is not None:
                self._drop_explained(fingerprint, record, now_ms)
                record.confirm()
                self._check(fingerprint, record, now_ms)
                self._drop_if_empty(fingerprint, record)

    def next_wake_ms(self) -> float:
        """Return when ``wake`` has to be called."""
        return min((due_ms for due_ms, _ in self._checks), default=float("inf"))

    def _merge_answer(self, fingerprint: int, report: CrashReport, now_ms: float) -> bool:
        if report.answered_age_ms is None:
            return False
        answered_ms = now_ms - report.answered_age_ms
        if answered_ms <= self._answered_ms.get(fingerprint, NEVER_MS):
            return False
        self._set_answered(fingerprint, answered_ms)
        record = self.find(fingerprint)
        if record is None:
            return False
        record.drop_silent()
        cleared_until_ms = answered_ms + CLOCK_SLACK_MS
        if record.is_quarantined:
            if record.crashes and record.quarantined_ms > cleared_until_ms:
                return False
            self._release(fingerprint)
            return True
        record.drop_until(cleared_until_ms)
        self._drop_if_empty(fingerprint, record)
        return True

    def _merge_quarantine(self, report: CrashReport, sender_id: str, now_ms: float) -> bool:
        fingerprint = report.fingerprint
        quarantined_ms = now_ms - report.quarantined_age_ms
        if report.quarantined_age_ms > FORGET_AFTER_MS:
            return False
        record = self._quarantined.get(fingerprint)
        is_new = record is None
        if record is None:
            record = self._suspects.get(fingerprint) or CrashRecord()
            self._quarantine(fingerprint, record, quarantined_ms, now_ms)
        if report.probed_age_ms is not None:
            probed_ms = now_ms - report.probed_age_ms
            is_new |= probed_ms > record.probed_ms + PROBE_INTERVAL_MS
            record.probed_ms = max(record.probed_ms, probed_ms)
        if report.failed_probes > record.failed_probes:
            is_new = True
            record.failed_probes = report.failed_probes
        if is_new:
            record.told_by = sender_id
        record.quarantined_ms = max(record.quarantined_ms, quarantined_ms)
        return is_new

    def _merge_crash(self, fingerprint: int, crash: Crash, sender_id: str, now_ms: float) -> bool:
        if not self._may_be_cause(fingerprint, crash):
            return False
        record = self.find(fingerprint)
        if record is None:
            record = self._add_suspect(fingerprint)
        is_confirmed = self._is_confirmed(fingerprint, crash)
        if record.is_quarantined or not record.add(crash, is_confirmed):
            return False
        record.told_by = sender_id
        self._drop_old(record, now_ms)
        self._check(fingerprint, record, now_ms)
        return True

    def _may_be_cause(self, fingerprint: int, crash: Crash) -> bool:
        """Return whether a request may have ended an upstream process that had it.

        A proven request is no cause of an upstream's silence: the popular ones are always among
        those that a silent upstream had.
        """
        if crash.is_silent and self._is_proven(fingerprint, crash.lost_ms):
            return False
        cause = self._causes.find_explanation(crash.process)
        if cause not in (None, fingerprint) and self.is_quarantined(cause):
            return False
        if not self._causes.add(fingerprint, crash):
            return False
        if crash.is_silent:
            for other in self._causes.pop_too_late(crash):
                self._withdraw(other, crash.process)
        return True

    def _count_crashes(self, fingerprint: int) -> int:
        record = self._suspects.get(fingerprint)
        return 0 if record is None else len(record.all_crashes())

    def _withdraw(self, fingerprint: int, process: int) -> None:
        record = self._suspects.get(fingerprint)
        if record is not None:
            record.withdraw(process)
            self._drop_if_empty(fingerprint, record)

    def _drop_if_empty(self, fingerprint: int, record: CrashRecord) -> None:
        if record.is_empty and not record.is_quarantined:
            del self._suspects[fingerprint]

    def _record_crash_in_quarantine(
        self, fingerprint: int, record: CrashRecord, crash: Crash, now_ms: float
    ) -> None:
        """Renew and extend the refusal of a request if its one more try has crashed an upstream."""
        if crash.sent_ms >= record.probed_ms > record.quarantined_ms:
            record.quarantined_ms = now_ms
            record.failed_probes += 1
            self._mark_changed(fingerprint, record)

    def _is_confirmed(self, fingerprint: int, crash: Crash) -> bool:
        """Return whether a crash counts before it is known which other requests took part in it."""
        return not crash.is_silent and not self._is_proven(fingerprint, crash.lost_ms)

    def _is_proven(self, fingerprint: int, now_ms: float) -> bool:
        """Return whether an upstream has answered a request not too long ago."""
        return now_ms - self._answered_ms.get(fingerprint, NEVER_MS) <= PROVEN_MS

    def _check(self, fingerprint: int, record: CrashRecord, now_ms: float) -> None:
        """Refuse a request if its crashes are enough; look again when peers have told of others."""
        if record.has_enough_crashes():
            self._quarantine(fingerprint, record, now_ms, now_ms)
            self._mark_changed(fingerprint, record)
        elif record.unconfirmed:
            self._checks.append((now_ms + CONFIRMATION_MS, fingerprint))

    def _drop_explained(self, fingerprint: int, record: CrashRecord, now_ms: float) -> None:
        """Drop the crashes of a proven request in which one took part that is not proven.

        Failure: a flood of requests that crash upstreams, each another one. None of them is known,
        and a popular harmless request takes part in most of the crashes.
        """
        if not self._is_proven(fingerprint, now_ms):
            return
        for process in list(record.unconfirmed):
            others = self._causes.requests_of(process) - {fingerprint}
            if not all(self._is_proven(other, now_ms) for other in others):
                record.withdraw(process)

    def _quarantine(
        self, fingerprint: int, record: CrashRecord, quarantined_ms: float, now_ms: float
    ) -> None:
        self._suspects.pop(fingerprint, None)
        record.quarantined_ms = quarantined_ms
        self._quarantined[fingerprint] = record
        self.digest ^= fingerprint
        for process in self._causes.processes_of(fingerprint):
            self._explain(process, fingerprint)
        self._forget_oldest(now_ms)

    def _explain(self, process: int, fingerprint: int) -> None:
        """Clear the other requests that a process had, since a refused one has ended it."""
        for other in self._causes.explain_process(process, fingerprint):
            self._withdraw(other, process)

    def _forget_oldest(self, now_ms: float) -> None:
        while self._quarantined:
            fingerprint, record = next(iter(self._quarantined.items()))
            is_old = now_ms - record.crashed_ms > FORGET_AFTER_MS
            if not is_old and len(self._quarantined) <= MAX_QUARANTINED:
                return
            self._release(fingerprint)

    def _release(self, fingerprint: int) -> None:
        del self._quarantined[fingerprint]
        self.digest ^= fingerprint

    def _mark_changed(self, fingerprint: int, record: CrashRecord) -> None:
        self._changed[fingerprint] = None
        records = self._quarantined if record.is_quarantined else self._suspects
        records.move_to_end(fingerprint)

    def _add_suspect(self, fingerprint: int) -> CrashRecord:
        record = self._suspects[fingerprint] = CrashRecord()
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return record

    def _set_answered(self, fingerprint: int, answered_ms: float) -> None:
        self._answered_ms[fingerprint] = answered_ms
        self._answered_ms.move_to_end(fingerprint)
        if len(self._answered_ms) > MAX_ANSWERED:
            self._answered_ms.popitem(last=False)

    def _probe_delay_ms(self, fingerprint: int) -> float:
        """Return how much later than allowed this instance sends one more try."""
        return hash_text(f"{self._own_id} {fingerprint}") % PROBE_SPREAD_MS

    @staticmethod
    def _drop_old(record: CrashRecord, now_ms: float) -> None:
        record.drop_until(now_ms - CRASH_LIFETIME_MS)


def _age_ms(time_ms: float | None, now_ms: float) -> int | None:
    """Return how long ago a time was; None for never."""
    if time_ms is None or time_ms == NEVER_MS:
        return None
    return max(0, round(now_ms - time_ms))
