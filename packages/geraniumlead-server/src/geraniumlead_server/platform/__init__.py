"""Names, formats and calls of the users' platform; no decisions are made here."""

from geraniumlead_server.platform.answers import attempt_headers, read_answer, set_time_left
from geraniumlead_server.platform.names import (
    READINESS_PATH,
    REQUEST_ID_HEADER,
)
from geraniumlead_server.platform.replies import reply_headers
from geraniumlead_server.platform.requests import BadRequest, read_request, read_target
from geraniumlead_server.platform.store_client import (
    HistoryGoneError,
    StoreChanges,
    StoreClient,
    StoreError,
)

__all__ = [
    "READINESS_PATH",
    "REQUEST_ID_HEADER",
    "BadRequest",
    "HistoryGoneError",
    "StoreChanges",
    "StoreClient",
    "StoreError",
    "attempt_headers",
    "read_answer",
    "read_request",
    "read_target",
    "reply_headers",
    "set_time_left",
]
