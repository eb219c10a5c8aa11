"""Serve the readiness checks of the platform's load balancer."""

from geraniumlead_server.forwarding_driver import ForwardingDriver
from geraniumlead_server.forwarding_front.asgi_reply import Send, send_reply
from geraniumlead_server.platform import READINESS_PATH

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
JSON_HEADERS = (("Content-Type", "application/json"),)


class ReadinessApp:
    """An ASGI application that answers 200 while the instance accepts callers, otherwise 503."""

    def __init__(self, driver: ForwardingDriver) -> None:
        self._driver = driver

    async def __call__(self, scope: dict, receive, send: Send) -> None:
        """Answer one request."""
        if scope["path"] != READINESS_PATH:
            await send_reply(send, NOT_FOUND, (), b"")
        elif self._driver.forwarder.is_ready:
            await send_reply(send, OK, JSON_HEADERS, b'{"ready":true}')
        else:
            await send_reply(send, UNAVAILABLE, JSON_HEADERS, b'{"ready":false}')
