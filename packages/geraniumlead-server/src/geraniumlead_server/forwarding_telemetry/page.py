"""Serve GET /metrics as a Prometheus page."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

from geraniumlead_server.forwarding_front.asgi_reply import Send, send_reply

PATH = "/metrics"
OK = 200
NOT_FOUND = 404


class MetricsPage:
    """Renders the metrics of the process on request.

    It is both an ASGI application and a falcon resource of the operators' application.
    """

    def __init__(self) -> None:
        self.reader = PrometheusMetricReader(scope_info_enabled=False)

    async def __call__(self, scope: dict, receive, send: Send) -> None:
        """Answer one request."""
        if scope["path"] != PATH:
            await send_reply(send, NOT_FOUND, (), b"")
            return
        headers = (("Content-Type", CONTENT_TYPE_LATEST),)
        await send_reply(send, OK, headers, generate_latest(REGISTRY))

    async def on_get(self, request, response) -> None:
        """Answer a request of the operators' application."""
        response.content_type = CONTENT_TYPE_LATEST
        response.data = generate_latest(REGISTRY)

    def close(self) -> None:
        """Unregister the reader, so that the process may create another page."""
        self.reader.shutdown()
