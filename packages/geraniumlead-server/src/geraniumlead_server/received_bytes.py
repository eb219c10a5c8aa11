"""Cut what was received of a connection into pieces for the parser."""

END_OF_HEAD = b"\r\n\r\n"
MAX_PIECE_BYTES = 1_024
"""Largest piece that may hold fields or chunks, since the parser can't be interrupted: some 250
fields, or 170 chunks of a byte."""


class ReceivedBytes:
    """Received bytes that are not parsed yet.

    A piece ends where a request may end: after the length that its head declares, or after an empty
    line, which ends each head and each body in chunks. So the parser never sees a byte of the next
    request before this one is whole.
    """

    __slots__ = ("_data", "_last_bytes", "_offset")

    def __init__(self) -> None:
        self._data = b""
        self._offset = 0
        self._last_bytes = b""

    def __len__(self) -> int:
        """Return the number of bytes that are not parsed yet."""
        return len(self._data) - self._offset

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._data = self._data[self._offset :] + data if len(self) else data
        self._offset = 0

    def clear(self) -> None:
        """Forget all bytes."""
        self._data = b""
        self._offset = 0

    def take(self, body_left_bytes: int) -> bytes:
        """Remove and return the next piece.

        ``body_left_bytes`` is what is missing of a body whose length was declared, or 0.
        """
        if body_left_bytes:
            end = self._offset + body_left_bytes
            self._last_bytes = b""
        else:
            end = self._offset + MAX_PIECE_BYTES
            # The empty line may have begun in the piece before.
            piece = self._last_bytes + self._data[self._offset : end]
            found = piece.find(END_OF_HEAD)
            if found >= 0:
                end = self._offset + found + len(END_OF_HEAD) - len(self._last_bytes)
            self._last_bytes = piece[-len(END_OF_HEAD) + 1 :] if found < 0 else b""
        data = self._data[self._offset : end]
        self._offset += len(data)
        if self._offset == len(self._data):
            self.clear()
        return data
