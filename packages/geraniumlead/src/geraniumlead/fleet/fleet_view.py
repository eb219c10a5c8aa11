"""Hold the upstreams that may be used now."""

from geraniumlead.fleet.upstream_record import UpstreamRecord

LAPSE_HOLD_MS = 2_200.0
"""Upstreams that live publish themselves again within 2 s of the platform's return."""


class FleetView:
    """Index upstreams by service and leave out those that may not be used.

    Failure: while the platform's store is away, upstreams cannot renew their entries, and
    the store comes back without them. Believed at once, the news would leave a service
    without any upstream although all of them live. So what disappears is kept for
    LAPSE_HOLD_MS after the store was away; entries that are still missing then are gone.
    """

    __slots__ = (
        "_by_service",
        "_evacuated",
        "_hold_until_ms",
        "_leaving_ms",
        "_read_ms",
        "_records",
    )

    def __init__(self) -> None:
        self._records: dict[str, UpstreamRecord] = {}
        self._by_service: dict[str, dict[str, UpstreamRecord]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._leaving_ms: dict[str, float] = {}
        self._hold_until_ms = float("-inf")
        self._read_ms: float | None = None

    def __len__(self) -> int:
        """Return the number of known upstreams."""
        return len(self._records)

    def note_read(self, read_ms: float) -> None:
        """Note that the view is as the platform's store was at a time, or newer."""
        self._read_ms = read_ms if self._read_ms is None else max(read_ms, self._read_ms)

    def age_ms(self, now_ms: float) -> float | None:
        """Return how old the view is at the most; None before the first reading."""
        return None if self._read_ms is None else now_ms - self._read_ms

    def get(self, upstream_id: str) -> UpstreamRecord | None:
        """Return an upstream that is known, usable or not."""
        return self._records.get(upstream_id)

    def ids(self) -> frozenset[str]:
        """Return the ids of all known upstreams."""
        return frozenset(self._records)

    def put(self, record: UpstreamRecord) -> UpstreamRecord | None:
        """Take over what an upstream published; return what it had published before."""
        before = self._records.get(record.upstream_id)
        self._leaving_ms.pop(record.upstream_id, None)
        if before is not None and before.service != record.service:
            self._forget(record.upstream_id)
        self._records[record.upstream_id] = record
        self._by_service.setdefault(record.service, {})[record.upstream_id] = record
        return before

    def remove(self, upstream_id: str, now_ms: float) -> bool:
        """Forget an upstream, now or after the hold; return whether it is forgotten."""
        if upstream_id not in self._records:
            return False
        if now_ms < self._hold_until_ms:
            self._leaving_ms.setdefault(upstream_id, self._hold_until_ms)
            return False
        self._forget(upstream_id)
        return True

    def note_platform_returned(self, now_ms: float) -> None:
        """Hold what disappears from now on, for the store was away."""
        self._hold_until_ms = now_ms + LAPSE_HOLD_MS

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Take over the data centres whose upstreams are to get nothing."""
        self._evacuated = data_centres

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres whose upstreams get nothing."""
        return self._evacuated

    def expire(self, now_ms: float) -> list[str]:
        """Forget what was held long enough; return the ids."""
        due = [name for name, due_ms in self._leaving_ms.items() if due_ms <= now_ms]
        for upstream_id in due:
            self._forget(upstream_id)
        return due

    def next_wake_ms(self) -> float | None:
        """Return when ``expire`` has to be called."""
        return min(self._leaving_ms.values()) if self._leaving_ms else None

    def usable(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams of a service that take new requests."""
        records = self._by_service.get(service, {}).values()
        return [
            record
            for record in records
            if record.is_ready and record.data_centre not in self._evacuated
        ]

    def _forget(self, upstream_id: str) -> None:
        record = self._records.pop(upstream_id)
        self._leaving_ms.pop(upstream_id, None)
        del self._by_service[record.service][upstream_id]
