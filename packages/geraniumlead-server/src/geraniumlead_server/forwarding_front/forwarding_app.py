"""Read callers' requests over ASGI and send the replies."""

import asyncio

from geraniumlead.forwarding import ForwardedRequest, MergedReply, OwnReply, RelayedReply, Reply
from geraniumlead_server.forwarding_driver import ForwardingDriver
from geraniumlead_server.forwarding_front.asgi_reply import Send, send_reply
from geraniumlead_server.forwarding_front.scope_keys import BEGAN_MS, CALLER_RTT_MS
from geraniumlead_server.forwarding_front.tcp_info import DEFAULT_ROUND_TRIP_MS
from geraniumlead_server.platform import BadRequest, read_request, reply_headers

BODY_TOO_LARGE = 413
OK = 200
CLOSE_HEADER = ("Connection", "close")
BINARY_HEADER = ("Content-Type", "application/octet-stream")
JSON_HEADER = ("Content-Type", "application/json")
TEXT_HEADER = ("Content-Type", "text/plain")


class CallerDisconnectedError(Exception):
    """Raised when a caller closes its connection before its request is complete."""


class BodyTooLargeError(Exception):
    """Raised when a body exceeds the limit of the configuration in force."""


class ForwardingApp:
    """An ASGI application that passes requests of all paths and methods to the forwarder."""

    def __init__(self, driver: ForwardingDriver) -> None:
        self._driver = driver

    async def __call__(self, scope: dict, receive, send: Send) -> None:
        """Answer one request; send nothing when its caller disconnects."""
        try:
            body = await self._read_body(scope["headers"], receive)
        except CallerDisconnectedError:
            return
        except BodyTooLargeError:
            await _refuse(send, BadRequest(BODY_TOO_LARGE, "the body is too large"))
            return
        key, arrived_ms = self._driver.next_key(), self._driver.now_ms()
        caller_rtt_ms = scope.get(CALLER_RTT_MS, DEFAULT_ROUND_TRIP_MS)
        waited_ms = arrived_ms - scope.get(BEGAN_MS, arrived_ms)
        request = read_request(key, scope, body, arrived_ms, caller_rtt_ms, waited_ms)
        if isinstance(request, BadRequest):
            await _refuse(send, request)
            return
        reply = await self._wait_for_reply(request, receive)
        if reply is None:
            return
        try:
            await self._send(send, request, reply)
        finally:
            self._driver.record_written(key)

    async def _read_body(self, headers: list[tuple[bytes, bytes]], receive) -> bytes:
        """Return the complete body, or raise an error if it is too large or ends early."""
        max_bytes = self._driver.limits.body_bytes
        if _declared_length(headers) > max_bytes:
            raise BodyTooLargeError
        chunks, size, has_more = [], 0, True
        while has_more:
            message = await receive()
            if message["type"] != "http.request":
                raise CallerDisconnectedError
            chunks.append(message.get("body", b""))
            size += len(chunks[-1])
            if size > max_bytes:
                raise BodyTooLargeError
            has_more = message.get("more_body", False)
        return b"".join(chunks)

    async def _wait_for_reply(self, request: ForwardedRequest, receive) -> Reply | None:
        """Return the reply; None when the caller disconnects first."""
        reply_future = self._driver.submit(request)
        if reply_future.done():
            return reply_future.result()
        disconnected = asyncio.ensure_future(receive())
        try:
            await asyncio.wait((reply_future, disconnected), return_when=asyncio.FIRST_COMPLETED)
        finally:
            disconnected.cancel()
        if reply_future.done():
            return reply_future.result()
        self._driver.handle_disconnect(request.key)
        return None

    async def _send(self, send: Send, request: ForwardedRequest, reply: Reply) -> None:
        headers = reply_headers(reply, request.request_id)
        if self._driver.forwarder.is_stopping:
            # The caller then opens its next connection to an instance that keeps running.
            headers.append(CLOSE_HEADER)
        match reply:
            case RelayedReply(answer=answer):
                await send_reply(send, answer.status, headers, answer.body)
            case MergedReply(records=records):
                await send_reply(send, OK, [*headers, BINARY_HEADER], records)
            case OwnReply(status=status, reason=reason):
                body = b'{"error":"%s"}' % reason.replace('"', "'").encode()
                await send_reply(send, status, [*headers, JSON_HEADER], body)


def _declared_length(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the Content-Length, 0 if absent; the parser has checked that it is a number."""
    return next((int(value) for name, value in headers if name == b"content-length"), 0)


async def _refuse(send: Send, refusal: BadRequest) -> None:
    headers = (TEXT_HEADER, CLOSE_HEADER)
    await send_reply(send, refusal.status, headers, refusal.reason.encode())
