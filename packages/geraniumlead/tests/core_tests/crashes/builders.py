"""Builders of crashes and trackers."""

from geraniumlead.crashes import Crash, CrashTracker

REQUEST = 0x75C3
OTHER = 0x1234


def build_crash(process: int, at_ms: float, is_silent: bool = False) -> Crash:
    return Crash(process, at_ms, at_ms + 10.0, is_silent)


def build_quarantined(at_ms: float = 1_000.0, own_id: str = "entry-1") -> CrashTracker:
    """Return a tracker that refuses REQUEST since shortly before ``at_ms``."""
    tracker = CrashTracker(own_id)
    for process, sent_ms in ((1, at_ms - 900.0), (2, at_ms - 890.0), (3, at_ms - 20.0)):
        crash = build_crash(process, sent_ms)
        tracker.record_lost(REQUEST, crash, crash.lost_ms)
    return tracker


def tell(sender: CrashTracker, receiver: CrashTracker, now_ms: float) -> None:
    """Let one tracker merge what the other knows of REQUEST and OTHER."""
    for fingerprint in (REQUEST, OTHER):
        receiver.merge(sender.report(fingerprint, now_ms), "entry-9", now_ms)
