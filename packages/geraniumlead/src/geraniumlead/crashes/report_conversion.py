"""Convert what is known of a request to a report for peers, with ages in place of times."""

from geraniumlead.crashes.crash_record import LONG_AGO_MS, Crash, CrashRecord
from geraniumlead.peering.messages import CrashReport, LostProcess


def build_report(
    fingerprint: int, record: CrashRecord | None, answered_ms: float | None, now_ms: float
) -> CrashReport:
    """Return the report of a request, of which there may be no record any more."""
    answered_age_ms = _age_ms(answered_ms, now_ms)
    if record is None:
        return CrashReport(fingerprint, answered_age_ms=answered_age_ms)
    return CrashReport(
        fingerprint,
        crashes=tuple(_build_crash(crash, now_ms) for crash in record.all_crashes()),
        quarantined_age_ms=_age_ms(record.quarantined_ms, now_ms),
        probed_age_ms=_age_ms(record.probed_ms, now_ms),
        failed_probes=record.failed_probes,
        answered_age_ms=answered_age_ms,
    )


def read_crashes(report: CrashReport, now_ms: float) -> list[Crash]:
    """Return the crashes in a report that was made at ``now_ms`` of this clock."""
    return [
        Crash(lost.process, now_ms - lost.sent_age_ms, now_ms - lost.lost_age_ms, lost.is_silent)
        for lost in report.crashes
    ]


def _build_crash(crash: Crash, now_ms: float) -> LostProcess:
    sent_age_ms = max(0, round(now_ms - crash.sent_ms))
    lost_age_ms = max(0, round(now_ms - crash.lost_ms))
    return LostProcess(crash.process, sent_age_ms, lost_age_ms, crash.is_silent)


def _age_ms(time_ms: float | None, now_ms: float) -> int | None:
    """Return how long ago a time was; None for never."""
    if time_ms is None or time_ms == LONG_AGO_MS:
        return None
    return max(0, round(now_ms - time_ms))
