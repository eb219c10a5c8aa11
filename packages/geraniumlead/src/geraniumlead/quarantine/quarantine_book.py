"""Decide which fingerprints are proven, suspected or quarantined."""

from collections import OrderedDict

from geraniumlead.quarantine.recent_set import RecentSet
from geraniumlead.quarantine.suspicion import SAME_CRASH_MS, Suspicion

MOST_PROVEN = 20_000
"""Proven fingerprints; about 100 bytes each, so two megabytes."""

MOST_SUSPECTED = 2_000

STRIKES = 2
"""Crashes of unproven requests: one upstream may crash by itself, two in a row with the
same new request on them hardly do."""

STRIKES_WHEN_PROVEN = 3
"""A request that ran well before is more often the victim of another one's crash."""

MEMORY_MS = 60_000.0

OUTAGE_MS = 1_000.0
MOST_CRASHES_OF_ONE = 2
"""An unproven request reaches two upstreams. When more than two lose their connections
within a second, a data centre restarts or a link broke, and to strike everybody who was
there would refuse the customers' most frequent requests for half a minute."""

HOLD_MS = 2_000.0
"""After a first strike new requests are refused for this time, or until the one that was
struck is answered: its replicas may be down for its sake, and each that waits for them holds
a place that others need."""

MOST_TOLD = 4
"""Strikes told to peers at once: of the unproven requests on one crashed upstream there are
few, and a notice goes to every peer."""
FIRST_QUARANTINE_MS = 30_000.0
MOST_QUARANTINE_MS = 600_000.0
"""The first time is bearable for an innocent, doubling stops a persistent caller, and the
longest lets a request return within minutes after the upstreams were mended."""


class QuarantineBook:
    """Remember which requests crashed upstreams.

    Load pattern: one request crashes each upstream that runs it, and its caller sends it
    again. Fanned out, it would crash one replica of every shard at once, and its retries
    the others. An unproven fingerprint goes to one shard first and there to two replicas at
    the most, chosen by its hash, so that all instances together crash two upstreams of a
    data centre before anyone knows; two crashes quarantine it, and peers are told.
    Whoever was on the upstream too is cleared by its next answer; a proven fingerprint gets
    no strike for a crash in which an unproven one took part; and of the suspected ones only
    one at a time is tried again, so that a second crash strikes no bystander.
    """

    __slots__ = (
        "_any_until_ms",
        "_crashes",
        "_proven",
        "_suspicions",
        "_tried",
        "_tried_until_ms",
        "told",
    )

    def __init__(self) -> None:
        self._proven = RecentSet(MOST_PROVEN)
        self._suspicions: OrderedDict[int, Suspicion] = OrderedDict()
        self._crashes: dict[str, tuple[float, bool]] = {}
        self._tried: int | None = None
        self._tried_until_ms = 0.0
        self._any_until_ms = float("-inf")
        self.told: list[tuple[int, str]] = []

    def is_proven(self, fingerprint: int) -> bool:
        """Return whether the fingerprint ran well lately."""
        return fingerprint in self._proven

    def remaining_ms(self, fingerprint: int, now_ms: float) -> float:
        """Return how long the fingerprint stays quarantined; 0 when it is not."""
        suspicion = self._suspicions.get(fingerprint)
        return 0.0 if suspicion is None else max(0.0, suspicion.until_ms - now_ms)

    def refused_ms(self, fingerprint: int, now_ms: float) -> float:
        """Return how long new requests of the fingerprint are refused; 0 when they are not."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return 0.0
        return max(0.0, suspicion.until_ms - now_ms, suspicion.held_until_ms - now_ms)

    def strikes(self, fingerprint: int) -> int:
        """Return the crashes that are held against the fingerprint."""
        suspicion = self._suspicions.get(fingerprint)
        return 0 if suspicion is None else len(suspicion.crashes)

    def note_answered(self, fingerprint: int, now_ms: float) -> None:
        """Clear a fingerprint that an upstream answered."""
        self._proven.add(fingerprint)
        if self._tried == fingerprint:
            self._tried = None
        self._clear(fingerprint, now_ms)

    def knows_crash(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether the crash of an upstream was already looked at."""
        known = self._crashes.get(upstream_id)
        return known is not None and now_ms - known[0] <= SAME_CRASH_MS

    def note_crash(self, upstream_id: str, fingerprints: set[int], now_ms: float) -> None:
        """Note which fingerprints were on an upstream when its connections ended."""
        self._crashes = {
            name: crash for name, crash in self._crashes.items() if now_ms - crash[0] <= OUTAGE_MS
        }
        has_unproven = any(not self.is_proven(found) for found in fingerprints)
        self._crashes[upstream_id] = (now_ms, has_unproven)

    def note_lost(self, fingerprint: int, upstream_id: str, now_ms: float) -> bool:
        """Strike a fingerprint whose connection was lost; True when it is quarantined now."""
        if self._is_outage(now_ms):
            # The cause is not one of those that were there, or it was one that every instance
            # takes for proven; from here on each of them has to prove itself again.
            self._proven.discard(fingerprint)
            self._clear(fingerprint, now_ms)
            return self.remaining_ms(fingerprint, now_ms) > 0.0
        is_proven = self.is_proven(fingerprint)
        _, has_unproven = self._crashes.get(upstream_id, (now_ms, False))
        if is_proven and has_unproven:
            return False
        suspicion = self._suspicion_of(fingerprint)
        suspicion.forget_before(now_ms - MEMORY_MS)
        suspicion.note_crash(upstream_id, now_ms)
        if self._tried == fingerprint:
            self._tried = None
        if suspicion.until_ms > now_ms:
            return True
        if len(suspicion.crashes) < (STRIKES_WHEN_PROVEN if is_proven else STRIKES):
            if not is_proven:
                self._hold(suspicion, now_ms)
                if len(self.told) < MOST_TOLD:
                    self.told.append((fingerprint, upstream_id))
            return False
        self._quarantine(fingerprint, suspicion, now_ms)
        self.told.append((fingerprint, upstream_id))
        return True

    def may_try_again(self, fingerprint: int, until_ms: float, now_ms: float) -> bool:
        """Return whether a request may go to another replica after a lost connection.

        One suspect at a time is tried, until it is answered, lost or out of time.
        """
        if self.remaining_ms(fingerprint, now_ms) > 0.0:
            return False
        if not self.strikes(fingerprint) or self.is_proven(fingerprint):
            return True
        if self._tried not in (None, fingerprint) and now_ms < self._tried_until_ms:
            return False
        self._tried, self._tried_until_ms = fingerprint, until_ms
        return True

    def hear(self, fingerprint: int, upstream_id: str, remaining_ms: float, now_ms: float) -> None:
        """Take over a strike or a quarantine of a peer."""
        if remaining_ms <= 0.0:
            self._hear_strike(fingerprint, upstream_id, now_ms)
            return
        suspicion = self._suspicion_of(fingerprint)
        bounded_ms = min(MOST_QUARANTINE_MS, remaining_ms)
        suspicion.until_ms = max(suspicion.until_ms, now_ms + bounded_ms)
        self._any_until_ms = max(self._any_until_ms, suspicion.until_ms)
        self._proven.discard(fingerprint)

    def _hear_strike(self, fingerprint: int, upstream_id: str, now_ms: float) -> None:
        if self.is_proven(fingerprint):
            return
        suspicion = self._suspicion_of(fingerprint)
        suspicion.forget_before(now_ms - MEMORY_MS)
        suspicion.note_crash(upstream_id, now_ms)
        if suspicion.until_ms <= now_ms and len(suspicion.crashes) >= STRIKES:
            self._quarantine(fingerprint, suspicion, now_ms)
        else:
            self._hold(suspicion, now_ms)

    def take_told(self) -> list[tuple[int, str]]:
        """Return the fingerprints and upstreams of which peers have to be told, once."""
        told, self.told = self.told, []
        return told

    def has_quarantined(self, now_ms: float) -> bool:
        """Return whether any fingerprint is quarantined now."""
        return now_ms < self._any_until_ms

    def _clear(self, fingerprint: int, now_ms: float) -> None:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None and suspicion.until_ms <= now_ms:
            del self._suspicions[fingerprint]

    def _is_outage(self, now_ms: float) -> bool:
        recent = sum(now_ms - at_ms <= OUTAGE_MS for at_ms, _ in self._crashes.values())
        return recent > MOST_CRASHES_OF_ONE

    def _hold(self, suspicion: Suspicion, now_ms: float) -> None:
        suspicion.held_until_ms = now_ms + HOLD_MS
        self._any_until_ms = max(self._any_until_ms, suspicion.held_until_ms)

    def _quarantine(self, fingerprint: int, suspicion: Suspicion, now_ms: float) -> None:
        lasts_ms = min(MOST_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2.0**suspicion.times)
        suspicion.times += 1
        suspicion.until_ms = now_ms + lasts_ms
        self._any_until_ms = max(self._any_until_ms, suspicion.until_ms)
        # One crash is kept, so that the next one after the quarantine renews it at once.
        suspicion.crashes = suspicion.crashes[-1:]
        self._proven.discard(fingerprint)

    def _suspicion_of(self, fingerprint: int) -> Suspicion:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            suspicion = self._suspicions[fingerprint] = Suspicion()
            if len(self._suspicions) > MOST_SUSPECTED:
                self._suspicions.popitem(last=False)
        return suspicion
