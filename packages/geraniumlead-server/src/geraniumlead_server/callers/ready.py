"""Serve GET /ready, the load balancer's readiness check."""

import falcon

from geraniumlead_server.driver import InstanceDriver


class ReadyResource:
    """The falcon resource that responds 200 while the instance accepts requests, else 503."""

    def __init__(self, driver: InstanceDriver) -> None:
        self._driver = driver

    async def on_get(self, request, response) -> None:
        """Report readiness."""
        ready = self._driver.instance.parts.is_ready
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        response.media = {"ready": ready}
