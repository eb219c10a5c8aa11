"""Build the headers of requests to upstreams, and interpret the answers."""

from collections.abc import Iterable, MutableMapping

from geraniumlead.forwarding import (
    AttemptResult,
    Completed,
    ForwardedRequest,
    NotExecuted,
    PossiblyExecuted,
)
from geraniumlead_server.platform.names import (
    CONNECTION_HEADERS,
    NOT_EXECUTED_HEADER,
    OTHER_UPSTREAM_STATUS,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
    UPSTREAM_ID_HEADER,
    WAIT_HEADER,
)

_SIGNATURE = SIGNATURE_HEADER.lower()
_NOT_EXECUTED = NOT_EXECUTED_HEADER.lower()
_REQUEST_ID = REQUEST_ID_HEADER.lower()


def attempt_headers(request: ForwardedRequest, upstream_id: str) -> list[tuple[str, str]]:
    """Return the headers of one attempt at an upstream, but for the time it has left."""
    return [*request.headers, (UPSTREAM_ID_HEADER, upstream_id)]


def set_time_left(headers: MutableMapping[str, str], time_left_ms: float) -> int:
    """Set how long the upstream may work, in whole milliseconds; return that time."""
    handed_ms = int(time_left_ms)
    headers[WAIT_HEADER] = str(handed_ms)
    return handed_ms


def read_answer(
    request: ForwardedRequest, status: int, headers: Iterable[tuple[str, str]], body: bytes
) -> AttemptResult:
    """Return the result of an attempt from the upstream's complete answer."""
    forwarded_headers = []
    values: dict[str, str] = {}
    for name, value in headers:
        lower = name.lower()
        values[lower] = value
        if lower not in CONNECTION_HEADERS:
            forwarded_headers.append((name, value))
    if status == OTHER_UPSTREAM_STATUS:
        return NotExecuted(status, is_other_upstream=True)
    if _NOT_EXECUTED in values:
        return NotExecuted(status)
    if values.get(_REQUEST_ID, request.request_id) != request.request_id:
        return PossiblyExecuted("answer to another request")
    if "content-encoding" in values:
        return PossiblyExecuted("encoded answer")
    signature = values.get(_SIGNATURE)
    if 200 <= status < 300 and not signature:
        return PossiblyExecuted("success without signature")
    return Completed(status, tuple(forwarded_headers), body, signature)
