import falcon.asgi

from geraniumlead_server.callers.queries import QueriesResource
from geraniumlead_server.callers.ready import ReadyResource
from geraniumlead_server.callers.tickets import TicketsResource
from geraniumlead_server.driver import InstanceDriver


def build_callers_app(driver: InstanceDriver) -> falcon.asgi.App:
    """Return the ASGI application that serves callers and the load balancer."""
    app = falcon.asgi.App()
    app.add_route("/v1/queries", QueriesResource(driver))
    app.add_route("/v1/tickets", TicketsResource(driver))
    app.add_route("/ready", ReadyResource(driver))
    return app
