"""Assemble the applications that callers and the balancer reach."""

import falcon.asgi

from geraniumlead_server.forwarding_driver import ForwardingDriver
from geraniumlead_server.forwarding_front.balancer_question import BalancerQuestion
from geraniumlead_server.forwarding_front.forwarding_sink import ForwardingSink
from geraniumlead_server.forwarding_front.scope_keys import RECEIVE
from geraniumlead_server.platform import BALANCER_QUESTION


class ReceivingApp:
    """Let the application see when a caller closes its connection."""

    def __init__(self, app: falcon.asgi.App) -> None:
        self._app = app

    async def __call__(self, scope, receive, send) -> None:
        """Handle one ASGI connection."""
        scope[RECEIVE] = receive
        await self._app(scope, receive, send)


def build_forwarding_app(driver: ForwardingDriver) -> ReceivingApp:
    """Return the application that takes callers' requests of every path and method."""
    app = falcon.asgi.App()
    app.resp_options.default_media_type = None
    app.add_sink(ForwardingSink(driver), prefix="/")
    return ReceivingApp(app)


def build_ready_app(driver: ForwardingDriver) -> falcon.asgi.App:
    """Return the application that answers the balancer."""
    app = falcon.asgi.App()
    app.add_route(BALANCER_QUESTION, BalancerQuestion(driver))
    return app
