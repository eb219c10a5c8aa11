"""Follow how old the news from the platform are, and read it when nobody else does."""

from random import Random

READ_AFTER_MS = 2_000.0
"""Age of the news above which an instance that does not watch reads the platform itself.

A watcher hears the platform every second while its watch lives, and at once when something
changes; with the wait below, news are in force within 6 s of publication even when all
watchers of a data centre die together."""

READS_PER_S = 4.0
"""Reads of one data centre together in that case: 11 centres stay at 44 of the platform's
2,000 reads a second, however many instances they have."""

RELAY_ALLOWANCE_MS = 50.0
"""Age added for the way of a heartbeat; above the one-way delay between regions."""


class PlatformContact:
    """Know when the platform was heard last, here or by a peer that says so.

    Load pattern: the watchers of a data centre die, or the network takes the platform from
    them. Without this the others would act on old documents until the list of instances
    names new watchers; if each of them read at once, 2,500 reads would go beyond the
    platform's budget just when it comes back. So every instance draws its own time to read,
    spread so that together they read at ``READS_PER_S``, and what one reads spares the
    others their reads.
    """

    __slots__ = ("_random", "_read_due_ms", "heard_ms")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._read_due_ms: float | None = None
        self.heard_ms: float | None = None

    def note_relayed(self, age_ms: float, now_ms: float) -> None:
        """Note the age that a peer's heartbeat tells."""
        # Without the allowance, two peers would pass an age back and forth that never grows
        # by the time which the heartbeats were under way.
        self.note_heard(now_ms - age_ms - RELAY_ALLOWANCE_MS)

    def note_heard(self, heard_ms: float) -> None:
        """Note that the platform was heard at a time, whoever heard it."""
        if self.heard_ms is None or heard_ms > self.heard_ms:
            self.heard_ms = heard_ms

    def age_ms(self, now_ms: float) -> float | None:
        """Return the age of the news; None when the platform was never heard."""
        return None if self.heard_ms is None else now_ms - self.heard_ms

    def takes_over(self, is_watching: bool, local_instances: int, now_ms: float) -> bool:
        """Return whether this instance should read the platform now."""
        age_ms = self.age_ms(now_ms)
        if is_watching or age_ms is None or age_ms < READ_AFTER_MS:
            self._read_due_ms = None
            return False
        if self._read_due_ms is None:
            self._read_due_ms = now_ms + self._draw_wait_ms(local_instances)
        if now_ms < self._read_due_ms:
            return False
        self._read_due_ms = now_ms + self._draw_wait_ms(local_instances)
        return True

    def _draw_wait_ms(self, local_instances: int) -> float:
        return self._random.uniform(0.0, 2_000.0 * local_instances / READS_PER_S)
