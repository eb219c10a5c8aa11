"""Assemble the operators' HTTP interface."""

import falcon.asgi

from geraniumlead_server.driver import InstanceDriver
from geraniumlead_server.operators.status import StatusResource


def build_operators_app(driver: InstanceDriver) -> falcon.asgi.App:
    """Return the ASGI application that operators reach; it only reads."""
    app = falcon.asgi.App()
    app.add_route("/v1/status", StatusResource(driver))
    return app
