"""Build the headers of replies to callers."""

from geraniumlead.forwarding import MergedReply, OwnReply, RelayedReply, Reply
from geraniumlead_server.platform.names import (
    MISSING_PARTS_HEADER,
    PART_SIGNATURES_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
)

SECONDS_DIGITS = 3


def reply_headers(reply: Reply, request_id: str) -> list[tuple[str, str]]:
    """Return all headers of a reply except the hop-by-hop ones."""
    match reply:
        case RelayedReply(answer=answer):
            return list(answer.headers)
        case MergedReply(signatures=signatures, missing=missing):
            return [
                (REQUEST_ID_HEADER, request_id),
                (PART_SIGNATURES_HEADER, ", ".join(signatures)),
                (MISSING_PARTS_HEADER, str(missing)),
            ]
        case OwnReply(retry_after_ms=None):
            return [(REQUEST_ID_HEADER, request_id)]
        case OwnReply(retry_after_ms=retry_after_ms):
            seconds = f"{retry_after_ms / 1000.0:.{SECONDS_DIGITS}f}"
            return [(REQUEST_ID_HEADER, request_id), (RETRY_AFTER_HEADER, seconds)]
