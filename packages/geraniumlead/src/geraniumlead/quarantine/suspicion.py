"""Define what is held against a fingerprint."""

from dataclasses import dataclass, field

SAME_CRASH_MS = 200.0
"""Connections to one upstream that end within this time were ended by one crash."""


@dataclass(slots=True)
class Suspicion:
    """Count the crashes that a fingerprint was part of, and how often it was quarantined."""

    crashes: list[tuple[str, float]] = field(default_factory=list)
    until_ms: float = float("-inf")
    held_until_ms: float = float("-inf")
    times: int = 0

    def note_crash(self, upstream_id: str, now_ms: float) -> bool:
        """Count a lost connection; False when its crash was counted before."""
        for known_id, at_ms in self.crashes:
            if known_id == upstream_id and now_ms - at_ms <= SAME_CRASH_MS:
                return False
        self.crashes.append((upstream_id, now_ms))
        return True

    def forget_before(self, at_ms: float) -> None:
        """Drop the crashes that are too long ago to have to do with a new one."""
        self.crashes = [crash for crash in self.crashes if crash[1] >= at_ms]
