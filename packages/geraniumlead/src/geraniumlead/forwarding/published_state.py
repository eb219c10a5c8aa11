from collections import Counter

from geraniumlead.forwarding.actions import ForwardingAction, LogDecision
from geraniumlead.forwarding.events import PublishedUpdates
from geraniumlead.forwarding.updates import (
    ConfigurationSeen,
    EvacuationSeen,
    UpstreamSeen,
    UpstreamWithdrawn,
)
from geraniumlead.forwarding.upstream_chooser import UpstreamChooser
from geraniumlead.peering import StoreReturn
from geraniumlead.published_upstreams import UpstreamRecord, UpstreamView
from geraniumlead.routes import PublishedConfiguration

_LOGGED_NAMES = {
    ConfigurationSeen: "configurations",
    EvacuationSeen: "evacuations",
    UpstreamSeen: "upstreams_seen",
    UpstreamWithdrawn: "upstreams_withdrawn",
}

STORE_RETURNED = "store_returned"
"""Event of a read that looks like the end of an outage, with its cause."""


class PublishedState:
    """The configuration in force and the known upstreams, as operators and upstreams publish them.

    Each change of the observed state is logged. A configuration is only replaced by one with a
    higher version, so neither a stale read nor a lost answer can bring an old one back.
    """

    __slots__ = (
        "_actions",
        "_chooser",
        "_lost",
        "_lost_since_ms",
        "_upstream_view",
        "configuration",
    )

    def __init__(
        self, upstream_view: UpstreamView, chooser: UpstreamChooser, actions: list[ForwardingAction]
    ) -> None:
        self._upstream_view = upstream_view
        self._chooser = chooser
        self._actions = actions
        self._lost_since_ms: float | None = None
        self._lost: list[UpstreamRecord] = []
        self.configuration: PublishedConfiguration | None = None

    @property
    def can_serve(self) -> bool:
        """Return whether a configuration is in force and any upstream is known."""
        return self.configuration is not None and len(self._upstream_view) > 0

    @property
    def is_store_lost(self) -> bool:
        """Return whether the last call to the store failed."""
        return self._lost_since_ms is not None

    @property
    def lacks_upstreams(self) -> bool:
        """Return whether any service of a route has no usable upstream."""
        if self.configuration is None:
            return False
        routes = self.configuration.routes
        names = {name for route in routes for name in route.services()}
        return any(not self._upstream_view.usable(name) for name in names)

    def view_age_ms(self, now_ms: float) -> float | None:
        """Return the maximum age of the view; None before the first read."""
        return self._upstream_view.age_ms(now_ms)

    def handle_updates(self, event: PublishedUpdates, now_ms: float) -> None:
        """Apply updates that were read from the store."""
        self._record_answered(now_ms)
        self._upstream_view.record_read(now_ms - event.age_ms)
        if event.store_return is not None:
            self._log_return(event.store_return, event.source)
        if event.returned_age_ms is not None:
            self._upstream_view.record_platform_return(now_ms - event.returned_age_ms)
        for item in event.updates:
            match item:
                case ConfigurationSeen(configuration=configuration):
                    self._apply_configuration(configuration, now_ms)
                case UpstreamSeen(record=record):
                    self._apply_upstream(record, now_ms)
                case UpstreamWithdrawn(upstream_id=upstream_id):
                    self._withdraw(upstream_id, now_ms)
                case EvacuationSeen(data_centre=name, is_evacuated=True):
                    self._set_evacuated(self._upstream_view.evacuated | {name}, now_ms)
                case EvacuationSeen(data_centre=name):
                    self._set_evacuated(self._upstream_view.evacuated - {name}, now_ms)
        if event.is_snapshot:
            self._drop_missing(event, now_ms)
        if event.updates:
            self._log_read(event)

    def record_store_lost(self, detail: str, now_ms: float) -> None:
        """Record that the store does not answer; the state read last stays in force."""
        if self._lost_since_ms is None:
            self._lost_since_ms = now_ms
            self._log(
                "store_lost", {"detail": detail, "upstreams": len(self._upstream_view)}, "warning"
            )

    def expire(self, now_ms: float) -> None:
        """Remove the upstreams whose entries lapsed and did not come back."""
        for record in self._upstream_view.expire(now_ms):
            self._lost.append(record)
            self._chooser.forget(record.upstream_id)
            self._log("upstream_left", {"upstream": record.upstream_id, "cause": "lapsed"})

    def drain_lost(self) -> list[UpstreamRecord]:
        """Return the upstreams that ended without draining first, and clear the list."""
        lost, self._lost = self._lost, []
        return lost

    def next_wake_ms(self) -> float:
        """Return when ``expire`` has to be called."""
        wake_ms = self._upstream_view.next_wake_ms()
        return float("inf") if wake_ms is None else wake_ms

    def _record_answered(self, now_ms: float) -> None:
        if self._lost_since_ms is not None:
            self._log("store_regained", {"away_ms": round(now_ms - self._lost_since_ms)})
            self._lost_since_ms = None

    def _apply_configuration(self, configuration: PublishedConfiguration, now_ms: float) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        before = None if current is None else current.version
        self._log("configuration", {"version": configuration.version, "before": before})

    def _apply_upstream(self, record: UpstreamRecord, now_ms: float) -> None:
        before = self._upstream_view.put(record)
        if before is not None and before.is_same_start(record):
            self._chooser.cold_limiter.record_cold(record.upstream_id, record.cold_left_ms, now_ms)
            if before.is_ready != record.is_ready:
                fields = {"upstream": record.upstream_id, "ready": record.is_ready}
                self._log("upstream_changed", fields)
            return
        if before is not None and before.is_ready and before.started_ms != record.started_ms:
            self._lost.append(before)
        self._chooser.forget(record.upstream_id)
        self._chooser.cold_limiter.record_cold(record.upstream_id, record.cold_left_ms, now_ms)
        fields = {
            "upstream": record.upstream_id,
            "service": record.service,
            "in_data_centre": record.data_centre,
            "ready": record.is_ready,
            "cold_left_ms": record.cold_left_ms,
        }
        self._log("upstream_entered", fields)

    def _withdraw(self, upstream_id: str, now_ms: float) -> None:
        record = self._upstream_view.get(upstream_id)
        if self._upstream_view.remove(upstream_id, now_ms):
            if record is not None and record.is_ready:
                self._lost.append(record)
            self._chooser.forget(upstream_id)
            self._log("upstream_left", {"upstream": upstream_id, "cause": "withdrawn"})

    def _set_evacuated(self, names: frozenset[str], now_ms: float) -> None:
        if names == self._upstream_view.evacuated:
            return
        returned = self._upstream_view.evacuated - names
        self._upstream_view.set_evacuated(names)
        self._mark_returned_cold(returned, now_ms)
        self._log("evacuated", {"data_centres": sorted(names)})

    def _mark_returned_cold(self, data_centres: frozenset[str], now_ms: float) -> None:
        """Treat the upstreams of data centres that are back in service as cold.

        Failure: without requests their caches were emptied, but they publish this only with their
        next heartbeat. If they were treated as warm, they would crash under the load that waits for
        them.
        """
        services = {} if self.configuration is None else self.configuration.services
        for upstream_id in self._upstream_view.ids() if data_centres else ():
            record = self._upstream_view.get(upstream_id)
            service = services.get(record.service)
            if record.data_centre in data_centres and service is not None:
                self._chooser.cold_limiter.record_cold(upstream_id, service.cold_ms, now_ms)

    def _drop_missing(self, event: PublishedUpdates, now_ms: float) -> None:
        listed = {
            item.record.upstream_id for item in event.updates if isinstance(item, UpstreamSeen)
        }
        for upstream_id in self._upstream_view.ids() - listed:
            self._withdraw(upstream_id, now_ms)
        evacuated = frozenset(
            item.data_centre
            for item in event.updates
            if isinstance(item, EvacuationSeen) and item.is_evacuated
        )
        self._set_evacuated(evacuated, now_ms)

    def _log_return(self, found: StoreReturn, source: str) -> None:
        fields = {
            "cause": found.cause.value,
            "unknown_ms": None if found.unknown_ms is None else round(found.unknown_ms, 1),
            "source": source,
        }
        self._log(STORE_RETURNED, fields)

    def _log_read(self, event: PublishedUpdates) -> None:
        """Log one summary of a read, since the entries for single upstreams may be omitted."""
        fields = {
            "source": event.source,
            "age_ms": round(event.age_ms, 1),
            "is_snapshot": event.is_snapshot,
            "version": None if self.configuration is None else self.configuration.version,
            "upstreams": len(self._upstream_view),
            **Counter(_LOGGED_NAMES[type(item)] for item in event.updates),
        }
        self._log("published", fields)

    def _log(self, name: str, fields: dict, level: str = "info") -> None:
        self._actions.append(LogDecision(name, fields, level))
