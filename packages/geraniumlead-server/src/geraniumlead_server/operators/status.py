"""Serve GET /v1/status."""

import falcon
from msgspec.json import encode

from geraniumlead_server.driver import InstanceDriver


class StatusResource:
    """The falcon resource of the instance's state and view of the cluster."""

    def __init__(self, driver: InstanceDriver) -> None:
        self._driver = driver

    async def on_get(self, request, response) -> None:
        """Return the instance's status."""
        response.content_type = falcon.MEDIA_JSON
        response.data = encode(self._driver.instance.status(self._driver.now_ms()))
