"""Speak the users' platform: names, formats and calls, and nothing that decides."""

from geraniumlead_server.platform.answers import attempt_headers, read_answer
from geraniumlead_server.platform.names import (
    BALANCER_QUESTION,
    REQUEST_ID_HEADER,
)
from geraniumlead_server.platform.replies import reply_headers
from geraniumlead_server.platform.requests import BadRequest, read_request
from geraniumlead_server.platform.store_client import (
    HistoryGoneError,
    StoreChanges,
    StoreClient,
    StoreError,
)

__all__ = [
    "BALANCER_QUESTION",
    "REQUEST_ID_HEADER",
    "BadRequest",
    "HistoryGoneError",
    "StoreChanges",
    "StoreClient",
    "StoreError",
    "attempt_headers",
    "read_answer",
    "read_request",
    "reply_headers",
]
