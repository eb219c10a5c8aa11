"""Serve GET /metrics as a Prometheus page."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest


class MetricsPage:
    """Render the process's metrics when they are asked for."""

    def __init__(self) -> None:
        self.reader = PrometheusMetricReader(scope_info_enabled=False)

    async def on_get(self, request, response) -> None:
        """Return the page."""
        response.content_type = CONTENT_TYPE_LATEST
        response.data = generate_latest(REGISTRY)

    def close(self) -> None:
        """Take the reader out of the registry, so that another page may follow in a process."""
        self.reader.shutdown()
