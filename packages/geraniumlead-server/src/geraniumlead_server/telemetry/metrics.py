"""Record OpenTelemetry metrics of requests and of the instance."""

from collections.abc import Callable, Iterable

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader

from geraniumlead.actions import AnswerCaller
from geraniumlead.instance import Instance
from geraniumlead.instance.status import InstanceStatus
from geraniumlead.requests import Answered, Failed, NotRun, Unknown
from geraniumlead_server.forwarding_telemetry.bounds import LATENCY_BOUNDS_MS
from geraniumlead_server.telemetry.counted_series import CountedSeries
from geraniumlead_server.telemetry.label_registry import LabelRegistry

COVERAGE_BOUNDS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 1.0)
FAN_OUT_BOUNDS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1200, 4096)

STATUS_CACHE_MS = 50.0
"""Time for which a status is reused, so that all gauges of one collection share one."""


class RequestMetrics:
    """Records every answer, and reads the instance's status when metrics are collected."""

    def __init__(
        self, instance: Instance, reader: MetricReader, now_ms: Callable[[], float]
    ) -> None:
        self._instance = instance
        self._now_ms = now_ms
        self._status: InstanceStatus | None = None
        self._status_ms = 0.0
        self._labels = LabelRegistry()
        meter = MeterProvider([reader], shutdown_on_exit=False).get_meter("geraniumlead")
        self._latency = meter.create_histogram(
            "geraniumlead_request_latency",
            unit="ms",
            description="time from arrival to outcome",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_MS,
        )
        self._queue_wait = meter.create_histogram(
            "geraniumlead_queue_wait",
            unit="ms",
            description="time before the first subquery",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_MS,
        )
        self._coverage = meter.create_histogram(
            "geraniumlead_coverage_share",
            description="answered over asked shards",
            explicit_bucket_boundaries_advisory=COVERAGE_BOUNDS,
        )
        self._fan_out = meter.create_histogram(
            "geraniumlead_fan_out_subqueries",
            description="subqueries of one request, extra ones included",
            explicit_bucket_boundaries_advisory=FAN_OUT_BOUNDS,
        )
        self._requests = CountedSeries("outcome")
        self._refused = CountedSeries("reason")
        self._extra_subqueries = CountedSeries()
        for name, series in (
            ("geraniumlead_requests", self._requests),
            ("geraniumlead_refused", self._refused),
            ("geraniumlead_extra_subqueries", self._extra_subqueries),
        ):
            meter.create_observable_counter(name, callbacks=[series.observe])
        for name, read in (
            ("geraniumlead_open_requests", lambda status: status.open_requests),
            ("geraniumlead_queued_requests", lambda status: status.queued_requests),
            ("geraniumlead_config_revision", lambda status: status.revision),
            ("geraniumlead_config_age_ms", lambda status: status.platform_age_ms),
            ("geraniumlead_refused_documents", lambda status: len(status.refused_documents)),
            ("geraniumlead_called_upstreams", lambda status: len(status.upstreams)),
            ("geraniumlead_cold_upstreams", _count_cold),
            ("geraniumlead_ready", lambda status: int(status.ready)),
            ("geraniumlead_reachable_peers", lambda status: sum(status.peers.values())),
        ):
            meter.create_observable_gauge(name, callbacks=[self._build_gauge_callback(read)])

    def observe(self, answer: AnswerCaller, now_ms: float) -> None:
        """Record one answer."""
        view = self._instance.parts.store.view
        labels = self._labels.labels_of(view, answer.customer, answer.class_name)
        outcome = outcome_name(answer)
        self._requests.add(labels, outcome)
        if isinstance(answer.outcome, NotRun):
            self._refused.add(labels, answer.outcome.reason.value)
            return
        self._latency.record(now_ms - answer.arrived_ms, labels)
        self._queue_wait.record(answer.queued_ms, labels)
        self._fan_out.record(answer.subqueries, labels)
        if answer.extra_subqueries:
            self._extra_subqueries.add(labels, count=answer.extra_subqueries)
        if isinstance(answer.outcome, Answered):
            self._coverage.record(answer.outcome.coverage.share, labels)

    def _read_status(self) -> InstanceStatus:
        now_ms = self._now_ms()
        if self._status is None or now_ms - self._status_ms > STATUS_CACHE_MS:
            self._status, self._status_ms = self._instance.status(now_ms), now_ms
        return self._status

    def _build_gauge_callback(
        self, read: Callable
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def observe(options: CallbackOptions) -> Iterable[Observation]:
            value = read(self._read_status())
            return [] if value is None else [Observation(value)]

        return observe


def _count_cold(status: InstanceStatus) -> int:
    return sum("cold" in found.conditions for found in status.upstreams.values())


def outcome_name(answer: AnswerCaller) -> str:
    """Return the name of the outcome in the callers' interface."""
    match answer.outcome:
        case Answered(coverage=coverage):
            return "whole" if coverage.is_whole else "partial"
        case NotRun():
            return "not_run"
        case Unknown():
            return "unknown"
        case Failed():
            return "failed"
    raise AssertionError("the union has no other member")
