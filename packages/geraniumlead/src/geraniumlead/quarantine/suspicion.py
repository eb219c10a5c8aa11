from dataclasses import dataclass, field

SAME_CRASH_MS = 200.0
"""Connections to one upstream that end within this time count as one crash."""


@dataclass(slots=True)
class Suspicion:
    """The recent crashes of upstreams that ran a fingerprint, and how often it was quarantined."""

    crashes: list[tuple[str, float]] = field(default_factory=list)
    until_ms: float = float("-inf")
    held_until_ms: float = float("-inf")
    quarantine_count: int = 0

    def record_crash(self, upstream_id: str, now_ms: float) -> bool:
        """Record the crash behind a lost connection. Return False if it is already recorded."""
        for known_id, at_ms in self.crashes:
            if known_id == upstream_id and now_ms - at_ms <= SAME_CRASH_MS:
                return False
        self.crashes.append((upstream_id, now_ms))
        return True

    def drop_before(self, at_ms: float) -> None:
        """Drop the crashes before ``at_ms``, which are too old to be related to a new one."""
        self.crashes = [crash for crash in self.crashes if crash[1] >= at_ms]
