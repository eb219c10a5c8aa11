from random import Random

FALLBACK_READ_AFTER_MS = 2_000.0
"""Age of the view above which an instance that does not watch reads the platform itself.

The platform answers a watcher every second while its watch is open, and at once when something
changes. With the wait below, updates are in force within 6 s of publication even when all
watchers of a data centre die together."""

FALLBACK_READS_PER_S = 4.0
"""Reads of all instances of one data centre together in that case: 11 data centres make 44 of the
platform's 2,000 reads a second, however many instances they have."""

RELAY_ALLOWANCE_MS = 50.0
"""Age added for the transmission of a heartbeat; above the one-way delay between regions."""


class PlatformFreshness:
    """The time of the last answer of the platform, to this instance or to a peer that reports it.

    Load pattern: the watchers of a data centre die, or the network separates them from the
    platform. Without fallback reads the other instances would use old documents until the list
    of instances names new watchers. If all of them read at once, 2,500 reads would exceed the
    platform's budget just when it comes back. So each instance waits for a random time, such
    that together they make ``FALLBACK_READS_PER_S`` reads a second, and a read by one of them
    makes the reads of the others unnecessary.
    """

    __slots__ = ("_random", "_read_due_ms", "answered_ms")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._read_due_ms: float | None = None
        self.answered_ms: float | None = None

    def record_relayed_age(self, age_ms: float, now_ms: float) -> None:
        """Record the age that a peer's heartbeat reports."""
        # Without the allowance, an age that two peers relay back and forth would never grow by
        # the transmission time of the heartbeats.
        self.record_answer(now_ms - age_ms - RELAY_ALLOWANCE_MS)

    def record_answer(self, answered_ms: float) -> None:
        """Record that the platform answered at ``answered_ms``, here or at a peer."""
        if self.answered_ms is None or answered_ms > self.answered_ms:
            self.answered_ms = answered_ms

    def age_ms(self, now_ms: float) -> float | None:
        """Return the time since the last answer of the platform; None before the first one."""
        return None if self.answered_ms is None else now_ms - self.answered_ms

    def should_read(self, is_watching: bool, local_instances: int, now_ms: float) -> bool:
        """Return whether this instance should read the platform now."""
        age_ms = self.age_ms(now_ms)
        if is_watching or age_ms is None or age_ms < FALLBACK_READ_AFTER_MS:
            self._read_due_ms = None
            return False
        if self._read_due_ms is None:
            self._read_due_ms = now_ms + self._random_wait_ms(local_instances)
        if now_ms < self._read_due_ms:
            return False
        self._read_due_ms = now_ms + self._random_wait_ms(local_instances)
        return True

    def _random_wait_ms(self, local_instances: int) -> float:
        return self._random.uniform(0.0, 2_000.0 * local_instances / FALLBACK_READS_PER_S)
