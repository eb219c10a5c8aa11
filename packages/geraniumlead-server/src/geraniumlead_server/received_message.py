"""Count what was received of a request, and the work that it took."""

from geraniumlead.caller_load import RequestSize

UNKNOWN_SIZE_BYTES = 1024 * 1024
"""Counted for what is missing of a head, and of a body in chunks."""


class ReceivedMessage:
    """The request that is being received on a connection, or was received last.

    A unit of work is a field, or a piece of a body. ``is_in_headers`` stays true between requests;
    ``is_in_message`` is true from the first byte of a request to its last, and on a new connection.
    """

    __slots__ = (
        "_begin_units",
        "_fields",
        "_head_bytes",
        "body_bytes",
        "body_left_bytes",
        "header_bytes",
        "is_in_headers",
        "is_in_message",
        "units",
    )

    def __init__(self) -> None:
        self.units = 0
        self.header_bytes = 0
        self.body_bytes = 0
        self.body_left_bytes = 0
        self.is_in_headers = True
        self.is_in_message = True
        self._begin_units = 0
        self._fields = 0
        self._head_bytes = 0

    @property
    def message_units(self) -> int:
        """Return the work on the request that is being received."""
        return self.units - self._begin_units

    @property
    def known_body_bytes(self) -> int:
        """Return the size of the body as far as it is known."""
        return self.body_bytes + self.body_left_bytes

    @property
    def missing_bytes(self) -> int:
        """Return how many bytes may still come."""
        if self.is_in_headers or not self.body_left_bytes:
            return UNKNOWN_SIZE_BYTES
        return self.body_left_bytes

    @property
    def has_begun(self) -> bool:
        """Return whether a part of a request was received, but not all of it."""
        return self.is_in_message and (self.header_bytes > 0 or not self.is_in_headers)

    def begin(self) -> None:
        """Count a new request."""
        self._fields = self.body_bytes = self.body_left_bytes = 0

    def add_field(self, name: bytes, value: bytes) -> None:
        """Count a field of the head, or one behind a body."""
        self.units += 1
        if self.is_in_headers:
            self._fields += 1
        else:
            self.header_bytes += len(name) + len(value)

    def end_head(self, last_bytes: int, body_left_bytes: int) -> None:
        """Record that the head is complete, with its last bytes, and the declared length."""
        self._head_bytes = self.header_bytes + last_bytes
        self.header_bytes = 0
        self.body_left_bytes = body_left_bytes
        self.is_in_headers = False

    def add_body(self, count: int) -> None:
        """Count a piece of the body."""
        self.units += 1
        self.body_bytes += count
        self.body_left_bytes = max(0, self.body_left_bytes - count)

    def end(self) -> None:
        """Record that the request is whole."""
        self.is_in_headers, self.is_in_message = True, False
        self._begin_units = self.units

    def size(self) -> RequestSize:
        """Return the size of what was received."""
        is_in_head = self.is_in_headers and self.is_in_message
        head_bytes = self.header_bytes if is_in_head else self._head_bytes
        return RequestSize(head_bytes, self._fields, self.body_bytes)


def declared_length(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the Content-Length, 0 if absent; the parser has checked that it is a number."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return 0
