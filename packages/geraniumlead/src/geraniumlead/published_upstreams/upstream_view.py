from geraniumlead.published_upstreams.upstream_record import UpstreamRecord

LAPSE_HOLD_MS = 2_200.0
"""Time for which removals are delayed after an outage of the store; live upstreams publish their
entries again within 2 s of its return."""


class UpstreamView:
    """The known upstreams, and which of them may be used for each service.

    Failure: while the platform's store is unavailable, upstreams cannot renew their entries, and
    the store comes back without them. Applied at once, these removals would leave a service
    without any upstream although all of them are alive. So for LAPSE_HOLD_MS after the return of
    the store removed upstreams are kept; those that are still missing from a view of a later time
    are forgotten. The time counts from the return, however many messages tell of it and however
    late they come.
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
        """Return the number of known upstreams, usable or not."""
        return len(self._records)

    def record_read(self, read_ms: float) -> None:
        """Record that the view is at least as recent as the store was at ``read_ms``."""
        self._read_ms = read_ms if self._read_ms is None else max(read_ms, self._read_ms)

    def age_ms(self, now_ms: float) -> float | None:
        """Return the maximum age of the view; None before the first read."""
        return None if self._read_ms is None else now_ms - self._read_ms

    def get(self, upstream_id: str) -> UpstreamRecord | None:
        """Return an upstream that is known, usable or not."""
        return self._records.get(upstream_id)

    def ids(self) -> frozenset[str]:
        """Return the ids of all known upstreams."""
        return frozenset(self._records)

    def put(self, record: UpstreamRecord) -> UpstreamRecord | None:
        """Add or replace the record of an upstream; return the previous one."""
        previous = self._records.get(record.upstream_id)
        self._leaving_ms.pop(record.upstream_id, None)
        if previous is not None and previous.service != record.service:
            self._forget(record.upstream_id)
        self._records[record.upstream_id] = record
        self._by_service.setdefault(record.service, {})[record.upstream_id] = record
        return previous

    def remove(self, upstream_id: str, now_ms: float) -> bool:
        """Forget an upstream, now or after LAPSE_HOLD_MS; return whether it is forgotten."""
        if upstream_id not in self._records:
            return False
        if now_ms < self._hold_until_ms:
            self._leaving_ms.setdefault(upstream_id, self._hold_until_ms)
            return False
        self._forget(upstream_id)
        return True

    def record_platform_return(self, returned_ms: float) -> None:
        """Delay removals for a while from the return of the store, which was unavailable."""
        self._hold_until_ms = max(self._hold_until_ms, returned_ms + LAPSE_HOLD_MS)

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Replace the data centres whose upstreams get no requests."""
        self._evacuated = data_centres

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres whose upstreams get no requests."""
        return self._evacuated

    def expire(self, now_ms: float) -> list[UpstreamRecord]:
        """Forget the upstreams whose delayed removal is due; return their last records.

        Failure: the pause between two reads is longer than the delay. Upstreams that had long
        published their entries again were forgotten until the next read.
        """
        due = [name for name, due_ms in self._due_ms().items() if due_ms <= now_ms]
        return [self._forget(upstream_id) for upstream_id in due]

    def next_wake_ms(self) -> float | None:
        """Return when ``expire`` has to be called; None when a later read decides first."""
        return min(self._due_ms().values(), default=None)

    def _due_ms(self) -> dict[str, float]:
        """Return when delayed removals are due, for those that the latest view confirms."""
        read_ms = float("-inf") if self._read_ms is None else self._read_ms
        return {name: due_ms for name, due_ms in self._leaving_ms.items() if due_ms <= read_ms}

    def usable(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams of a service that take new requests."""
        records = self._by_service.get(service, {}).values()
        return [
            record
            for record in records
            if record.is_ready and record.data_centre not in self._evacuated
        ]

    def _forget(self, upstream_id: str) -> UpstreamRecord:
        record = self._records.pop(upstream_id)
        self._leaving_ms.pop(upstream_id, None)
        del self._by_service[record.service][upstream_id]
        return record
