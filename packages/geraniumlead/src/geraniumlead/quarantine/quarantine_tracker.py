from collections import OrderedDict

from geraniumlead.quarantine.recent_set import RecentSet
from geraniumlead.quarantine.suspicion import SAME_CRASH_MS, Suspicion

MAX_PROVEN = 20_000
"""Maximum number of proven fingerprints: about 100 bytes each, so two megabytes."""

MAX_SUSPICIONS = 2_000

STRIKE_LIMIT = 2
"""Crashes after which an unproven request is quarantined. One upstream may crash for another
reason, but two in a row that run the same new request hardly do."""

PROVEN_STRIKE_LIMIT = 3
"""The limit for proven requests, whose calls are more often lost in a crash that another request
caused."""

STRIKE_LIFETIME_MS = 60_000.0

OUTAGE_WINDOW_MS = 1_000.0
MAX_CRASHES_PER_REQUEST = 2
"""An unproven request reaches two upstreams. If more than two lose their connections within a
second, a data centre restarts or a link has failed. Strikes for all requests in flight would then
refuse the customers' most frequent requests for half a minute."""

HOLD_MS = 2_000.0
"""Time for which new requests are refused after a first strike, unless the request with the strike
is answered earlier. It may have crashed its replicas, and each request that waits for them occupies
capacity that others need."""

MAX_PENDING_NOTICES = 4
"""Maximum number of pending strike notices to peers. Few unproven requests are in flight at one
crashed upstream, and each notice is sent to every peer."""

INITIAL_QUARANTINE_MS = 30_000.0
MAX_QUARANTINE_MS = 600_000.0
"""The initial time is acceptable for a request that did not cause the crash. Doubling it stops
persistent callers, and the maximum admits a request within minutes after the upstreams have been
fixed."""


class QuarantineTracker:
    """Tracks which fingerprints are proven, suspected or quarantined.

    Load pattern: one request crashes each upstream that runs it, and its caller retries it.
    With a full fan-out it would crash one replica of every shard at the same time, and its
    retries would crash the others. An unproven fingerprint is first sent to one shard, and
    there to at most two replicas, which are chosen by its hash. All instances of a data centre
    together therefore crash at most two upstreams before it is detected. Two crashes quarantine
    the fingerprint, and the peers are notified.

    Other requests that were in flight at the upstream are cleared by their next answer. A proven
    fingerprint gets no strike for a crash if an unproven one was in flight. Only one suspected
    fingerprint is retried at a time, so that a second crash gives no strike to the others.
    """

    __slots__ = (
        "_crashes",
        "_latest_until_ms",
        "_proven",
        "_retried",
        "_retried_until_ms",
        "_suspicions",
        "pending_notices",
    )

    def __init__(self) -> None:
        self._proven = RecentSet(MAX_PROVEN)
        self._suspicions: OrderedDict[int, Suspicion] = OrderedDict()
        self._crashes: dict[str, tuple[float, bool]] = {}
        self._retried: int | None = None
        self._retried_until_ms = 0.0
        self._latest_until_ms = float("-inf")
        self.pending_notices: list[tuple[int, str]] = []

    def is_proven(self, fingerprint: int) -> bool:
        """Return whether an upstream recently answered the fingerprint."""
        return fingerprint in self._proven

    def remaining_ms(self, fingerprint: int, now_ms: float) -> float:
        """Return the remaining time of the quarantine, or 0 if there is none."""
        suspicion = self._suspicions.get(fingerprint)
        return 0.0 if suspicion is None else max(0.0, suspicion.until_ms - now_ms)

    def quarantined(self, now_ms: float) -> list[int]:
        """Return the fingerprints that are quarantined now, the latest ones first."""
        if now_ms >= self._latest_until_ms:
            return []
        return [
            fingerprint
            for fingerprint, suspicion in reversed(self._suspicions.items())
            if suspicion.until_ms > now_ms
        ]

    def digest(self, now_ms: float) -> int:
        """Return a number that two instances have in common if they have the same quarantines."""
        found = 0
        for fingerprint in self.quarantined(now_ms):
            found ^= fingerprint
        return found

    def refused_ms(self, fingerprint: int, now_ms: float) -> float:
        """Return how long new requests with the fingerprint are refused, or 0 if they are not."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return 0.0
        return max(0.0, suspicion.until_ms - now_ms, suspicion.held_until_ms - now_ms)

    def strikes(self, fingerprint: int) -> int:
        """Return the number of strikes of the fingerprint."""
        suspicion = self._suspicions.get(fingerprint)
        return 0 if suspicion is None else len(suspicion.crashes)

    def record_answered(self, fingerprint: int, now_ms: float) -> None:
        """Mark a fingerprint as proven, because an upstream answered it, and remove its strikes."""
        self._proven.add(fingerprint)
        if self._retried == fingerprint:
            self._retried = None
        self._clear(fingerprint, now_ms)

    def is_known_crash(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether this crash of an upstream has already been recorded."""
        known = self._crashes.get(upstream_id)
        return known is not None and now_ms - known[0] <= SAME_CRASH_MS

    def record_crash(self, upstream_id: str, fingerprints: set[int], now_ms: float) -> None:
        """Record the fingerprints in flight at an upstream when its connections were lost."""
        self._crashes = {
            name: crash
            for name, crash in self._crashes.items()
            if now_ms - crash[0] <= OUTAGE_WINDOW_MS
        }
        has_unproven = any(not self.is_proven(found) for found in fingerprints)
        self._crashes[upstream_id] = (now_ms, has_unproven)

    def record_lost_call(self, fingerprint: int, upstream_id: str, now_ms: float) -> bool:
        """Count a strike for a lost call. Return whether the fingerprint is now quarantined."""
        if self._is_outage(now_ms):
            # Either no request in flight is the cause, or one that every instance considers
            # proven. So each of them has to be proven again.
            self._proven.discard(fingerprint)
            self._clear(fingerprint, now_ms)
            return self.remaining_ms(fingerprint, now_ms) > 0.0
        is_proven = self.is_proven(fingerprint)
        _, has_unproven = self._crashes.get(upstream_id, (now_ms, False))
        if is_proven and has_unproven:
            return False
        suspicion = self._suspicion_of(fingerprint)
        suspicion.drop_before(now_ms - STRIKE_LIFETIME_MS)
        suspicion.record_crash(upstream_id, now_ms)
        if self._retried == fingerprint:
            self._retried = None
        if suspicion.until_ms > now_ms:
            return True
        if len(suspicion.crashes) < (PROVEN_STRIKE_LIMIT if is_proven else STRIKE_LIMIT):
            if not is_proven:
                self._hold(suspicion, now_ms)
                if len(self.pending_notices) < MAX_PENDING_NOTICES:
                    self.pending_notices.append((fingerprint, upstream_id))
            return False
        self._quarantine(fingerprint, suspicion, now_ms)
        self.pending_notices.append((fingerprint, upstream_id))
        return True

    def may_retry(self, fingerprint: int, until_ms: float, now_ms: float) -> bool:
        """Return whether a request may be retried at another replica after a lost connection.

        One suspected fingerprint is retried at a time, until it is answered, its call is lost
        or its time is over.
        """
        if self.remaining_ms(fingerprint, now_ms) > 0.0:
            return False
        if not self.strikes(fingerprint) or self.is_proven(fingerprint):
            return True
        if self._retried not in (None, fingerprint) and now_ms < self._retried_until_ms:
            return False
        self._retried, self._retried_until_ms = fingerprint, until_ms
        return True

    def handle_notice(
        self, fingerprint: int, upstream_id: str, remaining_ms: float, now_ms: float
    ) -> None:
        """Handle a peer's notice of a strike (``remaining_ms`` is 0) or a quarantine."""
        if remaining_ms <= 0.0:
            self._handle_peer_strike(fingerprint, upstream_id, now_ms)
            return
        suspicion = self._suspicion_of(fingerprint)
        bounded_ms = min(MAX_QUARANTINE_MS, remaining_ms)
        suspicion.until_ms = max(suspicion.until_ms, now_ms + bounded_ms)
        self._latest_until_ms = max(self._latest_until_ms, suspicion.until_ms)
        self._proven.discard(fingerprint)

    def _handle_peer_strike(self, fingerprint: int, upstream_id: str, now_ms: float) -> None:
        if self.is_proven(fingerprint):
            return
        suspicion = self._suspicion_of(fingerprint)
        suspicion.drop_before(now_ms - STRIKE_LIFETIME_MS)
        suspicion.record_crash(upstream_id, now_ms)
        if suspicion.until_ms <= now_ms and len(suspicion.crashes) >= STRIKE_LIMIT:
            self._quarantine(fingerprint, suspicion, now_ms)
        else:
            self._hold(suspicion, now_ms)

    def drain_notices(self) -> list[tuple[int, str]]:
        """Return and remove the pending notices to peers, as pairs of fingerprint and upstream."""
        pending_notices, self.pending_notices = self.pending_notices, []
        return pending_notices

    def has_quarantined(self, now_ms: float) -> bool:
        """Return whether any fingerprint may be quarantined or held now."""
        return now_ms < self._latest_until_ms

    def _clear(self, fingerprint: int, now_ms: float) -> None:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None and suspicion.until_ms <= now_ms:
            del self._suspicions[fingerprint]

    def _is_outage(self, now_ms: float) -> bool:
        recent = sum(now_ms - at_ms <= OUTAGE_WINDOW_MS for at_ms, _ in self._crashes.values())
        return recent > MAX_CRASHES_PER_REQUEST

    def _hold(self, suspicion: Suspicion, now_ms: float) -> None:
        suspicion.held_until_ms = now_ms + HOLD_MS
        self._latest_until_ms = max(self._latest_until_ms, suspicion.held_until_ms)

    def _quarantine(self, fingerprint: int, suspicion: Suspicion, now_ms: float) -> None:
        duration_ms = min(
            MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS * 2.0**suspicion.quarantine_count
        )
        suspicion.quarantine_count += 1
        suspicion.until_ms = now_ms + duration_ms
        self._latest_until_ms = max(self._latest_until_ms, suspicion.until_ms)
        # One crash is kept, so that the first crash after the quarantine renews it immediately.
        suspicion.crashes = suspicion.crashes[-1:]
        self._proven.discard(fingerprint)

    def _suspicion_of(self, fingerprint: int) -> Suspicion:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            suspicion = self._suspicions[fingerprint] = Suspicion()
            if len(self._suspicions) > MAX_SUSPICIONS:
                self._suspicions.popitem(last=False)
        return suspicion
