import falcon.asgi

from geraniumlead_server.driver import InstanceDriver
from geraniumlead_server.operators.documents import DocumentsResource
from geraniumlead_server.operators.recent_requests import RecentRequests
from geraniumlead_server.operators.requests import RequestsResource
from geraniumlead_server.operators.status import StatusResource
from geraniumlead_server.telemetry import MetricsPage


def build_operators_app(
    driver: InstanceDriver, recent_requests: RecentRequests, metrics_page: MetricsPage
) -> falcon.asgi.App:
    """Return the ASGI application for operators; it is read-only."""
    app = falcon.asgi.App()
    app.add_route("/v1/status", StatusResource(driver))
    app.add_route("/v1/documents", DocumentsResource(driver))
    app.add_route("/v1/requests/{request_id}", RequestsResource(recent_requests))
    app.add_route("/metrics", metrics_page)
    return app
