"""Remember requests that crash the upstreams which run them."""

from collections import OrderedDict
from dataclasses import dataclass, field

STRIKES = 3
"""Upstreams lost in a row, without one answer, after which a request is not sent any more. An
upstream crashes by itself now and then, and connections are reset; the same request on three
of them, and answered by none, is no accident."""

QUARANTINE_MS = 60_000.0
"""Time for which it is refused, counted anew each time it comes; whoever sends it is told to
come back after it, and upstreams may have been mended by then."""

MOST_REQUESTS = 2_000
"""Fingerprints that are remembered, the newest; some hundred bytes each."""


@dataclass(slots=True)
class CrashRecord:
    """Hold the upstreams that were lost while they ran a request."""

    upstreams: set[str] = field(default_factory=set)
    until_ms: float = 0.0


class CrashTracker:
    """Count lost connections by the fingerprint of the request that was on them.

    Load pattern: one request crashes each upstream that begins to run it, and its caller
    sends it again, to any instance, with the same path and body. Each try takes an upstream
    away from all others for seconds. Peers are told of strikes, since the next try may reach
    one of them.

    Whoever shares the upstream with such a request loses its connection too, and when a data
    centre loses power all do. One answer clears a request: the harmful one never has any.
    """

    __slots__ = ("_records", "_told")

    def __init__(self) -> None:
        self._records: OrderedDict[int, CrashRecord] = OrderedDict()
        self._told: dict[int, tuple[str, ...]] = {}

    def __len__(self) -> int:
        """Return how many requests have strikes."""
        return len(self._records)

    def note_lost(self, fingerprint: int, upstream_id: str, now_ms: float) -> None:
        """Strike a request whose connection to an upstream was lost."""
        self._strike(fingerprint, (upstream_id,), now_ms)

    def note_answered(self, fingerprint: int) -> None:
        """Clear a request that an upstream answered."""
        self._records.pop(fingerprint, None)
        self._told.pop(fingerprint, None)

    def note_ended(self, fingerprint: int) -> None:
        """Let peers be told of a request that ended without any answer."""
        record = self._records.get(fingerprint)
        if record is not None:
            self._told[fingerprint] = tuple(sorted(record.upstreams))

    def hear(self, fingerprint: int, upstream_ids: tuple[str, ...], now_ms: float) -> None:
        """Take over the strikes that a peer saw."""
        self._strike(fingerprint, upstream_ids, now_ms)

    def is_refused(self, fingerprint: int, now_ms: float) -> bool:
        """Return whether a request is not to be sent; each time it comes counts anew."""
        record = self._records.get(fingerprint)
        if record is None or len(record.upstreams) < STRIKES:
            return False
        if now_ms >= record.until_ms:
            # One more try: if it crashes again, it is refused again at once.
            record.upstreams.pop()
            return False
        record.until_ms = now_ms + QUARANTINE_MS
        return True

    def take_told(self) -> dict[int, tuple[str, ...]]:
        """Return the strikes that peers have to be told of, once."""
        told, self._told = self._told, {}
        return told

    def _strike(self, fingerprint: int, upstream_ids: tuple[str, ...], now_ms: float) -> None:
        record = self._records.setdefault(fingerprint, CrashRecord())
        record.upstreams.update(upstream_ids)
        record.until_ms = now_ms + QUARANTINE_MS
        self._records.move_to_end(fingerprint)
        if len(self._records) > MOST_REQUESTS:
            self._records.popitem(last=False)
