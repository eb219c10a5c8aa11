"""Parse callers' requests."""

from dataclasses import dataclass
from math import isnan

from geraniumlead.forwarding import ForwardedRequest
from geraniumlead_server.platform.names import (
    CONNECTION_HEADERS,
    REQUEST_ID_HEADER,
    UPSTREAM_ID_HEADER,
    WAIT_HEADER,
)

_REQUEST_ID = REQUEST_ID_HEADER.lower()
_WAIT = WAIT_HEADER.lower()
_DROPPED_HEADERS = CONNECTION_HEADERS | {_WAIT, UPSTREAM_ID_HEADER.lower(), "expect"}
"""Headers that are not forwarded: this instance sets its own values, or handles them itself."""

BAD_REQUEST = 400
MISSING_REQUEST_ID = f"the header {REQUEST_ID_HEADER} is missing"


@dataclass(frozen=True, slots=True)
class BadRequest:
    """The status and reason with which an invalid request is refused."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class RequestTarget:
    """The host and path that select a request's route."""

    host: str
    path: str


def read_target(scope: dict) -> RequestTarget | BadRequest:
    """Return what selects the route of a request of which only the head is known."""
    fields = dict(scope["headers"])
    if not fields.get(_REQUEST_ID.encode()):
        return BadRequest(BAD_REQUEST, MISSING_REQUEST_ID)
    host = fields.get(b"host", b"")
    return RequestTarget(_read_text(host).lower(), scope["raw_path"].decode("latin-1"))


def read_request(
    key: int,
    scope: dict,
    body: bytes,
    arrived_ms: float,
    caller_rtt_ms: float,
    waited_ms: float = 0.0,
) -> ForwardedRequest | BadRequest:
    """Return the request in an ASGI scope, with its target exactly as the caller sent it."""
    headers = []
    host = request_id = ""
    wait_ms = None
    connection_options = _connection_options(scope["headers"])
    for raw_name, raw_value in scope["headers"]:
        name, value = raw_name.decode("latin-1"), _read_text(raw_value)
        if name == "host":
            host = value
        elif name == _REQUEST_ID:
            request_id = value
        elif name == _WAIT:
            wait_ms = _read_milliseconds(value)
        if name not in _DROPPED_HEADERS and name not in connection_options:
            headers.append((name, value))
    if not request_id:
        return BadRequest(BAD_REQUEST, MISSING_REQUEST_ID)
    path = scope["raw_path"].decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    return ForwardedRequest(
        key=key,
        request_id=request_id,
        method=scope["method"],
        host=host.lower(),
        path=path,
        target=f"{path}?{query}" if query else path,
        headers=tuple(headers),
        body=body,
        arrived_ms=arrived_ms,
        wait_ms=wait_ms,
        caller_rtt_ms=caller_rtt_ms,
        waited_ms=waited_ms,
    )


def _connection_options(headers: list[tuple[bytes, bytes]]) -> frozenset[str]:
    """Return the names of the headers that the caller's Connection header makes hop-by-hop."""
    values = [value for name, value in headers if name == b"connection"]
    names = b",".join(values).decode("latin-1").lower().split(",")
    return frozenset(name.strip() for name in names)


def _read_text(value: bytes) -> str:
    """Return a header's value, decoded as UTF-8 if possible; aiohttp encodes it as UTF-8 again."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def _read_milliseconds(value: str) -> float | None:
    """Return a time, 0 for one that is over already, and None for what is no time."""
    try:
        found = float(value)
    except ValueError:
        return None
    return None if isnan(found) else max(0.0, found)
