"""Bound the time and bytes in which a caller may send a request."""

from asyncio import TimerHandle

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

MESSAGE_TIMEOUT_S = 5.0
"""A body of 64 KB comes within this time at 13 KB a second, which any caller's network has."""

LINGER_S = 1.0
"""A close with unread bytes resets the connection, and the caller may never see why."""

MOST_HEADER_BYTES = 16_384

_STATUS_LINES = {408: "Request Timeout", 431: "Request Header Fields Too Large"}


class BoundedProtocol(HttpToolsProtocol):
    """Close connections that send a request too slowly or with too long headers.

    uvicorn bounds neither: a connection that trickles a byte now and then would be held for
    good, and a few thousand of them would use up the process's file descriptors. The timer
    covers headers and body of one message, so no rhythm of bytes can stretch it.
    """

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._header_bytes = 0
        self._is_in_headers = True
        self._is_in_message = True
        self._is_refused = False
        self._timer: TimerHandle | None = None

    @property
    def most_header_bytes(self) -> int:
        """Return the bound on the headers of one message."""
        return MOST_HEADER_BYTES

    @property
    def message_timeout_s(self) -> float:
        """Return the time in which one message has to come."""
        return MESSAGE_TIMEOUT_S

    def connection_made(self, transport) -> None:
        """Start the clock: a connection without a request is held no longer than a slow one."""
        super().connection_made(transport)
        self._arm()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the clock."""
        self._disarm()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count header bytes, and time messages that come in pieces."""
        if self._is_refused:
            return
        self._is_in_message = True
        super().data_received(data)
        if self.transport.is_closing():
            return
        if self._is_in_headers and self._is_in_message:
            self._header_bytes += len(data)
            if self._header_bytes > self.most_header_bytes:
                self._refuse(431)
                return
        if self._is_in_message:
            self._arm()

    def on_headers_complete(self) -> None:
        """Count the next headers from zero."""
        self._is_in_headers = False
        self._header_bytes = 0
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Stop the clock until the next message begins."""
        self._is_in_headers, self._is_in_message = True, False
        self._disarm()
        super().on_message_complete()

    def _arm(self) -> None:
        if self._timer is None:
            self._timer = self.loop.call_later(self.message_timeout_s, self._give_up)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _give_up(self) -> None:
        self._timer = None
        if self._header_bytes == 0 and self._is_in_headers:
            # Nothing was asked on it, so an answer would be taken for the next request's.
            self.transport.close()
            return
        if self._is_in_headers or not self.cycle.response_started:
            self._refuse(408)
        else:
            self.transport.close()

    def _refuse(self, status: int) -> None:
        head = f"HTTP/1.1 {status} {_STATUS_LINES[status]}\r\n"
        self.transport.write(f"{head}content-length: 0\r\nconnection: close\r\n\r\n".encode())
        self.transport.write_eof()
        self._is_refused = True
        self.loop.call_later(LINGER_S, self.transport.close)
