"""Record OpenTelemetry metrics of forwarded requests."""

from collections.abc import Callable

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader

from geraniumlead.forwarding import Forwarder, LogDecision
from geraniumlead.forwarding.extra_attempt_log import BUDGET_LEFT, EXTRA_ATTEMPTS
from geraniumlead.forwarding.peer_message_handler import MESSAGE_DROPPED
from geraniumlead.forwarding.published_state import STORE_RETURNED
from geraniumlead_server.caller_guard import CallerGuard
from geraniumlead_server.forwarding_telemetry.bounds import LATENCY_BOUNDS_MS
from geraniumlead_server.forwarding_telemetry.guard_metrics import observe_guard

MAX_LABELLED_ROUTES = 200
"""Routes with labels of their own; when a configuration grows by hundreds, the others share one."""

OTHER_ROUTES = "other"

MAX_LABELLED_SERVICES = 200
"""Services with labels of their own in the count of extra attempts."""

OTHER_SERVICES = "other"

CRASH_EVENTS = frozenset({"crash_strike", "crash_told", "crash_notice"})
CRASHES_UPSTREAMS = "crashes_upstreams"


class ForwardingMetrics:
    """Counts requests by route and status, and records their latencies by route."""

    def __init__(
        self,
        forwarder: Forwarder,
        reader: MetricReader,
        now_ms: Callable[[], float],
        read_failed_events: Callable[[], int] = int,
        guard: CallerGuard | None = None,
    ) -> None:
        self._forwarder = forwarder
        self._now_ms = now_ms
        self._routes: set[str] = set()
        self._services: set[str] = set()
        meter = MeterProvider([reader], shutdown_on_exit=False).get_meter("geraniumlead")
        self._latency = meter.create_histogram(
            "geraniumlead_forwarded_latency",
            unit="ms",
            description="time from arrival to reply",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_MS,
        )
        self._requests = meter.create_counter("geraniumlead_forwarded_requests")
        self._extra = meter.create_counter("geraniumlead_extra_attempts")
        self._extra_by_cause = meter.create_counter(
            "geraniumlead_extra_attempts_by_cause",
            description="attempts beyond the first that were sent, or denied for lack of budget",
        )
        self._wait = meter.create_histogram(
            "geraniumlead_request_wait",
            unit="ms",
            description="time that a request of a caller or a peer waited before it was read",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_MS,
        )
        self._overruns = meter.create_counter(
            "geraniumlead_deadline_overruns",
            description="attempts that were handed more time than their caller waits",
        )
        self._crashes = meter.create_counter(
            "geraniumlead_crash_events",
            description="upstreams lost under a request, notices of them, and refusals for them",
        )
        self._dropped = meter.create_counter(
            "geraniumlead_peer_messages_dropped",
            description="messages of or for a process of an instance that is gone",
        )
        self._returns = meter.create_counter(
            "geraniumlead_store_returns",
            description="reads of the store that look like the end of an outage",
        )
        self._missing = meter.create_counter("geraniumlead_missing_shards")
        meter.create_observable_counter(
            "geraniumlead_failed_events",
            callbacks=[_build_callback(read_failed_events)],
            description="events that ended with an exception",
        )
        if guard is not None:
            observe_guard(meter, guard)
        self._view_changes = meter.create_counter("geraniumlead_view_changes")
        for name, read in (
            ("geraniumlead_open_requests", lambda: forwarder.open_requests),
            ("geraniumlead_ready", lambda: int(forwarder.is_ready)),
            ("geraniumlead_config_version", self._read_version),
            ("geraniumlead_view_age_ms", self._read_view_age_ms),
            ("geraniumlead_crash_suspects", lambda: forwarder.crash_suspects),
            ("geraniumlead_store_lost", lambda: int(forwarder.published.is_store_lost)),
        ):
            meter.create_observable_gauge(name, callbacks=[_build_callback(read)])

    def observe(self, decision: LogDecision) -> None:
        """Record one decision."""
        fields = decision.fields
        if decision.name in CRASH_EVENTS:
            self._crashes.add(1, {"event": decision.name})
            return
        if decision.name == STORE_RETURNED:
            self._returns.add(1, {"cause": fields["cause"]})
            return
        if decision.name == MESSAGE_DROPPED:
            self._dropped.add(1, {"kind": fields["kind"], "reason": fields["reason"]})
            return
        if decision.name == EXTRA_ATTEMPTS:
            self._count_extra_attempts(fields["services"])
            return
        if decision.name != "request":
            self._view_changes.add(1, {"change": decision.name})
            return
        labels = {"route": self._label_of(fields.get("route", "none"))}
        status = str(fields.get("status", "none"))
        self._requests.add(1, {**labels, "status": status})
        if "latency_ms" in fields:
            self._latency.record(fields["latency_ms"], labels)
        if "waited_ms" in fields:
            source = "peer" if fields.get("is_delegated") else "caller"
            self._wait.record(fields["waited_ms"], {"source": source})
        if fields.get("overruns"):
            self._overruns.add(fields["overruns"], labels)
        if fields.get("reason") == CRASHES_UPSTREAMS:
            self._crashes.add(1, {"event": "refused"})
        if fields.get("extra"):
            self._extra.add(fields["extra"], labels)
        if fields.get("missing"):
            self._missing.add(len(fields["missing"]), labels)

    def _count_extra_attempts(self, services: dict[str, dict[str, float]]) -> None:
        for service, counts in services.items():
            label = self._service_label_of(service)
            for cause in counts.keys() - {BUDGET_LEFT}:
                self._extra_by_cause.add(counts[cause], {"service": label, "cause": cause})

    def _service_label_of(self, service: str) -> str:
        if service in self._services:
            return service
        if len(self._services) >= MAX_LABELLED_SERVICES:
            return OTHER_SERVICES
        self._services.add(service)
        return service

    def _label_of(self, route: str) -> str:
        if route in self._routes:
            return route
        if len(self._routes) >= MAX_LABELLED_ROUTES:
            return OTHER_ROUTES
        self._routes.add(route)
        return route

    def _read_view_age_ms(self) -> float:
        return self._forwarder.published.view_age_ms(self._now_ms()) or 0.0

    def _read_version(self) -> int:
        configuration = self._forwarder.published.configuration
        return 0 if configuration is None else configuration.version


def _build_callback(read):
    def observe(options: CallbackOptions):
        return [Observation(read())]

    return observe
