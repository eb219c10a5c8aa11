"""Take one request, and give its caller the reply."""

import asyncio

from geraniumlead.forwarding import ForwardedRequest, MergedReply, OwnReply, RelayedReply, Reply
from geraniumlead_server.forwarding_driver import ForwardingDriver
from geraniumlead_server.forwarding_front.caller_way import UNKNOWN_ROUND_TRIP_MS
from geraniumlead_server.forwarding_front.scope_keys import RECEIVE, WAY_MS
from geraniumlead_server.platform import BadRequest, read_request, reply_headers

BODY_TOO_LARGE = 413
OK = 200
BINARY = "application/octet-stream"


class ForwardingSink:
    """Be the falcon sink for every path and method."""

    def __init__(self, driver: ForwardingDriver) -> None:
        self._driver = driver

    async def __call__(self, request, response, **_) -> None:
        """Answer one request, or nothing when its caller leaves."""
        body = await self._read_body(request)
        if body is None:
            _refuse(response, BadRequest(BODY_TOO_LARGE, "the body is too large"))
            return
        key, arrived_ms = self._driver.next_key(), self._driver.now_ms()
        way_ms = request.scope.get(WAY_MS, UNKNOWN_ROUND_TRIP_MS)
        asked = read_request(key, request.scope, body, arrived_ms, way_ms)
        if isinstance(asked, BadRequest):
            _refuse(response, asked)
            return
        reply = await self._ask(asked, request.scope[RECEIVE])
        if reply is not None:
            self._render(response, asked, reply)

    async def _read_body(self, request) -> bytes | None:
        """Return the whole body; None when it is over the limit."""
        most = self._driver.limits.body_bytes
        if request.content_length is not None and request.content_length > most:
            return None
        pieces, size = [], 0
        async for piece in request.stream:
            size += len(piece)
            if size > most:
                return None
            pieces.append(piece)
        return b"".join(pieces)

    async def _ask(self, asked: ForwardedRequest, receive) -> Reply | None:
        """Wait for the reply or for the caller's close, whichever comes first."""
        answered = self._driver.ask(asked)
        if answered.done():
            return answered.result()
        left = asyncio.ensure_future(receive())
        try:
            await asyncio.wait((answered, left), return_when=asyncio.FIRST_COMPLETED)
        finally:
            left.cancel()
        if answered.done():
            return answered.result()
        self._driver.drop(asked.key)
        return None

    def _render(self, response, asked: ForwardedRequest, reply: Reply) -> None:
        for name, value in reply_headers(reply, asked.request_id):
            response.append_header(name, value)
        if self._driver.forwarder.is_stopping:
            # The caller opens its next connection to an instance that stays.
            response.set_header("Connection", "close")
        match reply:
            case RelayedReply(answer=answer):
                response.status = answer.status
                response.data = answer.body
            case MergedReply(records=records):
                response.status = OK
                response.content_type = BINARY
                response.data = records
            case OwnReply(status=status, reason=reason):
                response.status = status
                response.content_type = "application/json"
                response.data = b'{"error":"%s"}' % reason.replace('"', "'").encode()


def _refuse(response, refusal: BadRequest) -> None:
    response.status = refusal.status
    response.content_type = "text/plain"
    response.data = refusal.reason.encode()
    response.set_header("Connection", "close")
