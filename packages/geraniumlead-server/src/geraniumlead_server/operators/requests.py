"""Serve GET /v1/requests/{request_id}."""

import falcon
from msgspec.json import encode

from geraniumlead_server.operators.recent_requests import RecentRequests


class RequestsResource:
    """The falcon resource of the details of one recent request."""

    def __init__(self, recent_requests: RecentRequests) -> None:
        self._recent_requests = recent_requests

    async def on_get(self, request, response, request_id: str) -> None:
        """Return the recorded details of a request; respond 404 if there are none."""
        found = self._recent_requests.find(request_id)
        if not found:
            raise falcon.HTTPNotFound(title="this instance does not remember the request")
        response.content_type = falcon.MEDIA_JSON
        response.data = encode({"requests": found})
