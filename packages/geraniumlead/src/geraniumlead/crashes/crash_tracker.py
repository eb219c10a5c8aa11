from geraniumlead.crashes.answer_memory import AnswerMemory
from geraniumlead.crashes.crash_causes import CrashCauses
from geraniumlead.crashes.crash_record import (
    CRASH_LIFETIME_MS,
    PROBE_INTERVAL_MS,
    Crash,
    CrashRecord,
)
from geraniumlead.crashes.crash_registry import FORGET_AFTER_MS, CrashRegistry
from geraniumlead.crashes.news import News
from geraniumlead.crashes.report_conversion import build_report, read_crashes
from geraniumlead.hashing import hash_text
from geraniumlead.peering.messages import CrashReport

PROBE_SPREAD_MS = 10_000.0
"""Time over which instances are spread at the end of a quarantine, so that hardly two of them send
the request at the same moment."""

NEVER_MS = float("inf")

CONFIRMATION_MS = 1_000.0
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

    __slots__ = ("_answers", "_causes", "_checks", "_news", "_own_id", "_registry")

    def __init__(self, own_id: str = "") -> None:
        self._own_id = own_id
        self._registry = CrashRegistry()
        self._answers = AnswerMemory()
        self._causes = CrashCauses()
        self._checks: list[tuple[float, int]] = []
        self._news: dict[int, News] = {}

    def __len__(self) -> int:
        """Return under how many requests upstreams were lost."""
        return len(self._registry)

    @property
    def digest(self) -> int:
        """Return a number that two instances have in common if they refuse the same requests."""
        return self._registry.digest

    def find(self, fingerprint: int) -> CrashRecord | None:
        """Return what is known of a request; None if no upstream was lost under it."""
        return self._registry.find(fingerprint)

    @property
    def has_suspected(self) -> bool:
        """Return whether any request is suspected or refused."""
        return bool(self._registry.suspected)

    def is_suspected(self, fingerprint: int) -> bool:
        """Return whether upstreams should be risked for a request only one at a time."""
        return fingerprint in self._registry.suspected

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request is refused."""
        return self._registry.is_quarantined(fingerprint)

    def was_answered(self, fingerprint: int) -> bool:
        """Return whether an answer to the request is known, here or at a peer."""
        return self._answers.find(fingerprint) is not None

    def is_proven(self, fingerprint: int, now_ms: float) -> bool:
        """Return whether an upstream has answered a request not too long ago."""
        return self._answers.is_proven(fingerprint, now_ms)

    def quarantined(self) -> list[int]:
        """Return the requests that are refused, the last changed ones first."""
        return self._registry.quarantined()

    def may_start(self, fingerprint: int, now_ms: float) -> bool:
        """Return whether a new try of a request may be sent.

        A suspected request is sent again when its loss would tell something new, one try at a time.
        One that is proven is not held up: in a flood of crashing requests it is suspected time and
        again, until it is known which others took part in its crashes. A refused one is sent once
        more after its quarantine. Peers are told of it, so that no other instance does the same.
        """
        if not self.is_suspected(fingerprint):
            return True
        record = self._registry.find(fingerprint)
        if record is None:
            return True
        if not record.is_quarantined and self._answers.is_proven(fingerprint, now_ms):
            return True
        if now_ms < record.refused_until_ms:
            return False
        if record.is_quarantined:
            if now_ms < record.refused_until_ms + self._probe_delay_ms(fingerprint):
                return False
            self._record_change(fingerprint)
        record.probed_ms = now_ms
        return True

    def record_lost(self, fingerprint: int, crash: Crash, now_ms: float) -> CrashRecord | None:
        """Record that an upstream process was lost under a request that was sent to it.

        Return what is known of the request, or None if the loss has another cause.
        """
        if not self._may_be_cause(fingerprint, crash):
            return None
        record = self._registry.find_or_add(fingerprint)
        record.told_by = None
        if record.is_quarantined:
            self._explain(crash.process, fingerprint)
            self._extend_quarantine(fingerprint, record, crash, now_ms)
        elif self._add(fingerprint, record, crash, now_ms) and len(record.all_crashes()) > 1:
            self._record_change(fingerprint)
        return record

    def record_failed(self, fingerprint: int) -> None:
        """Record that a request ended without any answer; peers are told of its crashes."""
        if self._registry.find_suspect(fingerprint) is not None:
            self._record_change(fingerprint)

    def record_answered(self, fingerprint: int, now_ms: float) -> None:
        """Record that an upstream answered a request, which clears it."""
        self._answers.record(fingerprint, now_ms)
        record = self._registry.find(fingerprint)
        if record is None:
            return
        self._registry.remove(fingerprint)
        if record.is_shared:
            self._add_news(fingerprint, is_own=True)

    def report(self, fingerprint: int, now_ms: float) -> CrashReport:
        """Return what peers should know of a request."""
        record = self._registry.find(fingerprint)
        return build_report(fingerprint, record, self._answers.find(fingerprint), now_ms)

    def merge(self, report: CrashReport, sender_id: str, now_ms: float) -> bool:
        """Merge what a peer knows of a request; return whether that was new here.

        ``now_ms`` is when the report was made, on this clock. What is new is told on.
        """
        fingerprint = report.fingerprint
        is_new = self._merge_answer(report, now_ms)
        cleared_until_ms = self._answers.cleared_until_ms(fingerprint)
        crashes = read_crashes(report, now_ms)
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
            self._add_news(fingerprint, is_own=False)
        return is_new

    def drain_news(self) -> list[News]:
        """Return the requests of which peers should be told anew, and clear the list."""
        if not self._news:
            return []
        news, self._news = list(self._news.values()), {}
        return news

    def wake(self, now_ms: float) -> None:
        """Judge crashes that may have another cause, now that peers have told of theirs."""
        if not self._checks:
            return
        due = {fingerprint for due_ms, fingerprint in self._checks if due_ms <= now_ms}
        self._checks = [entry for entry in self._checks if entry[0] > now_ms]
        # The request with most crashes explains those that others share with it.
        for fingerprint in sorted(due, key=self._count_crashes, reverse=True):
            record = self._registry.find_suspect(fingerprint)
            if record is not None:
                self._drop_explained(fingerprint, record, now_ms)
                record.confirm()
                self._registry.update(fingerprint)
                self._check(fingerprint, record, now_ms)
                self._registry.remove_if_empty(fingerprint)

    def next_wake_ms(self) -> float:
        """Return when ``wake`` has to be called."""
        if not self._checks:
            return NEVER_MS
        return min(due_ms for due_ms, _ in self._checks)

    def _merge_answer(self, report: CrashReport, now_ms: float) -> bool:
        """Merge an answer; return whether it clears anything here."""
        if report.answered_age_ms is None:
            return False
        fingerprint = report.fingerprint
        answered_ms = now_ms - report.answered_age_ms
        known_ms = self._answers.find(fingerprint)
        if known_ms is not None and answered_ms <= known_ms:
            return False
        self._answers.record(fingerprint, answered_ms)
        record = self._registry.find(fingerprint)
        if record is None:
            return False
        if record.told_by is None:
            # The other regions have been told from here that it crashed an upstream.
            self._add_news(fingerprint, is_own=True)
        record.drop_silent()
        cleared_until_ms = self._answers.cleared_until_ms(fingerprint)
        if record.is_quarantined:
            if record.crashes and record.quarantined_ms > cleared_until_ms:
                return False
            return self._registry.remove(fingerprint)
        record.drop_until(cleared_until_ms)
        self._registry.update(fingerprint)
        self._registry.remove_if_empty(fingerprint)
        return True

    def _merge_quarantine(self, report: CrashReport, sender_id: str, now_ms: float) -> bool:
        """Merge a peer's refusal; return whether it is new here."""
        if report.quarantined_age_ms > FORGET_AFTER_MS:
            return False
        fingerprint = report.fingerprint
        quarantined_ms = now_ms - report.quarantined_age_ms
        is_new = not self._registry.is_quarantined(fingerprint)
        if is_new:
            self._quarantine(fingerprint, quarantined_ms, now_ms)
        record = self._registry.find(fingerprint)
        if record is None:
            return False
        if report.probed_age_ms is not None:
            probed_ms = now_ms - report.probed_age_ms
            is_new |= probed_ms > record.probed_ms + PROBE_INTERVAL_MS
            record.probed_ms = max(record.probed_ms, probed_ms)
        if report.failed_probes > record.failed_probes:
            is_new = True
            record.failed_probes = report.failed_probes
        record.is_shared = True
        if is_new:
            record.told_by = sender_id
        record.quarantined_ms = max(record.quarantined_ms, quarantined_ms)
        return is_new

    def _merge_crash(self, fingerprint: int, crash: Crash, sender_id: str, now_ms: float) -> bool:
        if self._registry.is_quarantined(fingerprint) or not self._may_be_cause(fingerprint, crash):
            return False
        record = self._registry.find_or_add(fingerprint)
        seen_by, record.told_by = record.told_by, sender_id
        if not self._add(fingerprint, record, crash, now_ms):
            record.told_by = seen_by
            return False
        record.is_shared = True
        return True

    def _add(self, fingerprint: int, record: CrashRecord, crash: Crash, now_ms: float) -> bool:
        """Add a crash to a request that is not refused; return whether it is new.

        That of a proven request, or of an upstream that fell silent, counts only when it is known
        which other requests took part in it.
        """
        is_proven = self._answers.is_proven(fingerprint, crash.lost_ms)
        if not record.add(crash, is_confirmed=not (crash.is_silent or is_proven)):
            return False
        record.drop_until(now_ms - CRASH_LIFETIME_MS)
        self._registry.update(fingerprint)
        self._check(fingerprint, record, now_ms)
        return True

    def _check(self, fingerprint: int, record: CrashRecord, now_ms: float) -> None:
        """Refuse a request if its crashes are enough; look again when peers have told of others."""
        if record.has_enough_crashes():
            self._quarantine(fingerprint, now_ms, now_ms)
            self._record_change(fingerprint)
        elif record.unconfirmed:
            self._checks.append((now_ms + CONFIRMATION_MS, fingerprint))

    def _may_be_cause(self, fingerprint: int, crash: Crash) -> bool:
        """Return whether a request may have ended an upstream process that had it.

        A proven request is no cause of an upstream's silence: the popular ones are always among
        those that a silent upstream had.
        """
        if crash.is_silent and self._answers.is_proven(fingerprint, crash.lost_ms):
            return False
        cause = self._causes.find_explanation(crash.process)
        if cause not in (None, fingerprint) and self._registry.is_quarantined(cause):
            return False
        if not self._causes.add(fingerprint, crash):
            return False
        if crash.is_silent:
            for other in self._causes.pop_too_late(crash):
                self._registry.withdraw(other, crash.process)
        return True

    def _drop_explained(self, fingerprint: int, record: CrashRecord, now_ms: float) -> None:
        """Drop the crashes of a proven request in which one took part that is not proven.

        Failure: a flood of requests that crash upstreams, each another one. None of them is known,
        and a popular harmless request takes part in most of the crashes.
        """
        if not self._answers.is_proven(fingerprint, now_ms):
            return
        for process in list(record.unconfirmed):
            others = self._causes.requests_of(process) - {fingerprint}
            if not all(self._answers.is_proven(other, now_ms) for other in others):
                record.withdraw(process)

    def _extend_quarantine(
        self, fingerprint: int, record: CrashRecord, crash: Crash, now_ms: float
    ) -> None:
        """Extend the refusal of a request if its one more try has crashed an upstream."""
        if crash.sent_ms >= record.probed_ms > record.quarantined_ms:
            record.quarantined_ms = now_ms
            record.failed_probes += 1
            self._record_change(fingerprint)

    def _quarantine(self, fingerprint: int, quarantined_ms: float, now_ms: float) -> None:
        """Refuse a request, and clear the others of the processes that it had."""
        self._registry.quarantine(fingerprint, quarantined_ms, now_ms)
        for process in self._causes.processes_of(fingerprint):
            self._explain(process, fingerprint)

    def _explain(self, process: int, fingerprint: int) -> None:
        for other in self._causes.explain_process(process, fingerprint):
            self._registry.withdraw(other, process)

    def _count_crashes(self, fingerprint: int) -> int:
        record = self._registry.find_suspect(fingerprint)
        return 0 if record is None else len(record.all_crashes())

    def _record_change(self, fingerprint: int) -> None:
        """Let peers be told of a request of which more is known now."""
        self._registry.refresh(fingerprint)
        record = self._registry.find(fingerprint)
        if record is not None:
            record.is_shared = True
            self._add_news(fingerprint, is_own=record.told_by is None)

    def _add_news(self, fingerprint: int, is_own: bool) -> None:
        known = self._news.get(fingerprint)
        was_own = known is not None and known.is_own
        self._news[fingerprint] = News(fingerprint, is_own or was_own)

    def _probe_delay_ms(self, fingerprint: int) -> float:
        """Return how much later than allowed this instance sends one more try."""
        return hash_text(f"{self._own_id} {fingerprint}") % PROBE_SPREAD_MS
