from collections import OrderedDict
from dataclasses import dataclass, field

MAX_STRIKES = 3
"""Upstreams lost in a row, without a single answer, after which a request is not sent any more.
Upstreams crash for other reasons now and then, and connections are reset; but three upstreams lost
with the same request and no answer from any of them are no coincidence."""

QUARANTINE_MS = 60_000.0
"""Time for which a request is refused, which starts anew each time it arrives. The refusal
tells the sender to retry after it; upstreams may have been repaired by then."""

MAX_REQUESTS = 2_000
"""Maximum number of fingerprints kept, the most recent ones; each takes some hundred bytes."""


@dataclass(slots=True)
class CrashRecord:
    """The upstreams that were lost while they ran a request, and when its refusal ends.

    ``told_by`` is the peer that told of the last strike; None for one that was seen here.
    """

    upstream_ids: set[str] = field(default_factory=set)
    refused_until_ms: float = 0.0
    struck_ms: float = 0.0
    told_by: str | None = None


class CrashTracker:
    """Counts lost connections by the fingerprint of the request that was sent on them.

    Load pattern: one request crashes each upstream that begins to run it, and its caller retries
    with the same path and body, at any instance. Each attempt makes an upstream unavailable for all
    other requests for seconds. Peers are notified of the strikes, since the next attempt may reach
    one of them.

    Other requests at the same upstream lose their connection too, and when a data centre loses
    power all do. A single answer clears a request: a harmful one never gets any.
    """

    __slots__ = ("_records", "_unsent")

    def __init__(self) -> None:
        self._records: OrderedDict[int, CrashRecord] = OrderedDict()
        self._unsent: dict[int, tuple[str, ...]] = {}

    def __len__(self) -> int:
        """Return how many requests have strikes."""
        return len(self._records)

    def record_lost(self, fingerprint: int, upstream_id: str, now_ms: float) -> None:
        """Add a strike to a request whose connection to an upstream was lost."""
        self._add_strikes(fingerprint, (upstream_id,), now_ms)

    def record_answered(self, fingerprint: int) -> None:
        """Clear the strikes of a request that an upstream answered."""
        self._records.pop(fingerprint, None)
        self._unsent.pop(fingerprint, None)

    def record_ended(self, fingerprint: int) -> None:
        """Queue the strikes of a request that ended without any answer, to be sent to peers."""
        record = self._records.get(fingerprint)
        if record is not None:
            self._unsent[fingerprint] = tuple(sorted(record.upstream_ids))

    def handle_notice(
        self,
        fingerprint: int,
        upstream_ids: tuple[str, ...],
        now_ms: float,
        sender_id: str | None = None,
    ) -> None:
        """Add the strikes that a peer recorded."""
        self._add_strikes(fingerprint, upstream_ids, now_ms)
        self._records[fingerprint].told_by = sender_id

    def find(self, fingerprint: int) -> CrashRecord | None:
        """Return what is known of a request; None if it has no strikes."""
        return self._records.get(fingerprint)

    def is_refused(self, fingerprint: int, now_ms: float) -> bool:
        """Return whether a request has to be refused; a refusal starts its time anew."""
        record = self._records.get(fingerprint)
        if record is None or len(record.upstream_ids) < MAX_STRIKES:
            return False
        if now_ms >= record.refused_until_ms:
            # Allows one more attempt: if it crashes an upstream again, it is refused at once.
            record.upstream_ids.pop()
            return False
        record.refused_until_ms = now_ms + QUARANTINE_MS
        return True

    def drain_unsent(self) -> dict[int, tuple[str, ...]]:
        """Return the strikes that peers have not been sent yet, and clear the queue."""
        unsent, self._unsent = self._unsent, {}
        return unsent

    def _add_strikes(self, fingerprint: int, upstream_ids: tuple[str, ...], now_ms: float) -> None:
        record = self._records.setdefault(fingerprint, CrashRecord())
        record.upstream_ids.update(upstream_ids)
        record.refused_until_ms = now_ms + QUARANTINE_MS
        record.struck_ms, record.told_by = now_ms, None
        self._records.move_to_end(fingerprint)
        if len(self._records) > MAX_REQUESTS:
            self._records.popitem(last=False)
