"""Serve GET /v1/requests/{request_id}."""

import falcon
from msgspec.json import encode

from geraniumlead_server.operators.recent_requests import RecentRequests


class RequestsResource:
    """Explain one request that this instance took lately."""

    def __init__(self, recent: RecentRequests) -> None:
        self._recent = recent

    async def on_get(self, request, response, request_id: str) -> None:
        """Return what is remembered of a request; 404 when nothing is."""
        found = self._recent.find(request_id)
        if not found:
            raise falcon.HTTPNotFound(title="this instance does not remember the request")
        response.content_type = falcon.MEDIA_JSON
        response.data = encode({"requests": found})
