"""Limit the time and the header bytes that a caller may take to send a request."""

from asyncio import TimerHandle

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

MESSAGE_TIMEOUT_S = 5.0
"""Enough for a body of 64 KB at 13 KB a second, which any caller's network provides."""

LINGER_S = 1.0
"""Delay before a connection is closed after an error response. Closing it while bytes are
unread resets the connection, and the caller may never receive the response."""

MAX_HEADER_BYTES = 16_384

_STATUS_LINES = {408: "Request Timeout", 431: "Request Header Fields Too Large"}


class BoundedProtocol(HttpToolsProtocol):
    """Closes connections that send a request too slowly or with too long headers.

    uvicorn limits neither: a connection that sends a byte now and then would stay open for
    ever, and a few thousand of them would use up the process's file descriptors. One timer
    covers the headers and the body of a message, so that single bytes do not extend it.
    """

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._header_bytes = 0
        self._is_in_headers = True
        self._is_in_message = True
        self._is_rejected = False
        self._timer: TimerHandle | None = None

    @property
    def max_header_bytes(self) -> int:
        """Return the maximum size of one message's headers."""
        return MAX_HEADER_BYTES

    @property
    def message_timeout_s(self) -> float:
        """Return the time within which a whole message must be received."""
        return MESSAGE_TIMEOUT_S

    def connection_made(self, transport) -> None:
        """Start the timer, so that a connection without a request is closed like a slow one."""
        super().connection_made(transport)
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._cancel_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count header bytes, and start the timer for messages that arrive in pieces."""
        if self._is_rejected:
            return
        self._is_in_message = True
        super().data_received(data)
        if self.transport.is_closing():
            return
        if self._is_in_headers and self._is_in_message:
            self._header_bytes += len(data)
            if self._header_bytes > self.max_header_bytes:
                self._reject(431)
                return
        if self._is_in_message:
            self._start_timer()

    def on_headers_complete(self) -> None:
        """Reset the count of header bytes for the next message."""
        self._is_in_headers = False
        self._header_bytes = 0
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Stop the timer until the next message begins."""
        self._is_in_headers, self._is_in_message = True, False
        self._cancel_timer()
        super().on_message_complete()

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = self.loop.call_later(self.message_timeout_s, self._handle_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        self._timer = None
        if self._header_bytes == 0 and self._is_in_headers:
            # No request was begun: the caller would take a response for that of its next one.
            self.transport.close()
            return
        if self._is_in_headers or not self.cycle.response_started:
            self._reject(408)
        else:
            self.transport.close()

    def _reject(self, status: int) -> None:
        head = f"HTTP/1.1 {status} {_STATUS_LINES[status]}\r\n"
        self.transport.write(f"{head}content-length: 0\r\nconnection: close\r\n\r\n".encode())
        self.transport.write_eof()
        self._is_rejected = True
        self.loop.call_later(LINGER_S, self.transport.close)
