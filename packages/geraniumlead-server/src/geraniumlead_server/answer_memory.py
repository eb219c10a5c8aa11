"""Limit the bytes of one answer, and of all answers that are being received."""

from typing import Protocol

from aiohttp import ClientPayloadError, ClientResponse

MAX_ANSWER_BYTES = 4 * 1024 * 1024
MAX_OPEN_ANSWER_BYTES = 16 * 1024 * 1024
"""Limits of the query interface, and of the platform's form unless its settings have others. To
join the pieces of an answer takes its size again, and the smallest instances have 160 MB."""

ANSWER_TOO_LONG = "answer too long"


class AnswerTooLongError(ClientPayloadError):
    """Raised when an answer takes more bytes than it may."""


class Receiver(Protocol):
    """A connection on which an answer is being received."""

    def reject_answer(self) -> None:
        """Give the answer up and close the connection."""


class AnswerMemory:
    """The bytes of all answers that are being received on a group of connections.

    Failure: an upstream sends an answer without end, and the process exceeds its memory. The caller
    retries, and the next instance ends: one upstream ends the whole fleet.

    An answer over ``max_answer_bytes`` is given up. If all of them together exceed
    ``max_open_bytes``, the longest is: short ones are not the cause.
    """

    def __init__(
        self,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_open_bytes: int = MAX_OPEN_ANSWER_BYTES,
    ) -> None:
        self._max_answer_bytes = max_answer_bytes
        self._max_open_bytes = max_open_bytes
        self._bytes: dict[Receiver, int] = {}
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Return the bytes of all answers that are being received."""
        return self._total_bytes

    def add(self, receiver: Receiver, count: int) -> None:
        """Count received bytes, and reject an answer if there are too many of them."""
        received = self._bytes.get(receiver, 0) + count
        self._bytes[receiver] = received
        self._total_bytes += count
        if received > self._max_answer_bytes:
            self._reject(receiver)
        elif self._total_bytes > self._max_open_bytes:
            self._reject(max(self._bytes, key=self._bytes.__getitem__))

    def release(self, receiver: Receiver) -> None:
        """Forget the bytes of an answer that is complete, or whose connection is closed."""
        self._total_bytes -= self._bytes.pop(receiver, 0)

    def _reject(self, receiver: Receiver) -> None:
        self.release(receiver)
        receiver.reject_answer()


async def read_limited(response: ClientResponse, max_bytes: int) -> bytes:
    """Return the body of an answer; raise AnswerTooLongError if it has more bytes."""
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > max_bytes:
            response.close()
            raise AnswerTooLongError(ANSWER_TOO_LONG)
    return bytes(body)
