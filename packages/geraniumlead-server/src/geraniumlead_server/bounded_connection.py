"""Connections of a client on which no answer is longer than allowed."""

import asyncio

from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler

from geraniumlead_server.answer_memory import ANSWER_TOO_LONG, AnswerMemory, AnswerTooLongError

MAX_HEAD_BYTES = 32_768
"""Largest head of an answer, including the interim answers before it."""

MAX_INTERIM_ANSWERS = 10

HEAD_SLICE_BYTES = 2_048
"""Bytes of a head that are parsed at once. A whole buffer of interim answers would hold the event
loop for a tenth of a second."""

FIRST_FINAL_STATUS = 200


class BoundedConnection(ResponseHandler):
    """A connection that is closed when an answer on it is too long.

    The client library limits single header fields, but neither the number of interim answers nor
    the body.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: AnswerMemory) -> None:
        super().__init__(loop)
        self._memory = memory
        self._is_rejected = False
        self._is_in_body = False
        self._head_bytes = 0
        self._interim_answers = 0

    def data_received(self, data: bytes) -> None:
        """Count and parse received bytes, a head in slices."""
        if self._is_rejected:
            return
        if data:
            self._memory.add(self, len(data))
        while data and not self._is_in_body and self.is_connected():
            head, data = data[:HEAD_SLICE_BYTES], data[HEAD_SLICE_BYTES:]
            self._head_bytes += len(head)
            super().data_received(head)
            if not self._is_in_body and self._is_head_too_long():
                self.reject_answer()
        if data and self.is_connected():
            super().data_received(data)

    def feed_data(self, data, size: int = 0) -> None:
        """Note whether an answer has begun, and when it is complete."""
        message, payload = data
        if message.code < FIRST_FINAL_STATUS:
            self._interim_answers += 1
        else:
            self._is_in_body = True
            payload.on_eof(self._finish_answer)
        super().feed_data(data, size)

    def reject_answer(self) -> None:
        """Fail the answer and reset the connection."""
        self._is_rejected = True
        error = AnswerTooLongError(ANSWER_TOO_LONG)
        payload = self._payload
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the bytes of an answer that is not complete."""
        self._memory.release(self)
        super().connection_lost(exc)

    def _is_head_too_long(self) -> bool:
        return self._head_bytes > MAX_HEAD_BYTES or self._interim_answers > MAX_INTERIM_ANSWERS

    def _finish_answer(self) -> None:
        self._is_in_body = False
        self._head_bytes = self._interim_answers = 0
        self._memory.release(self)


class BoundedConnector(TCPConnector):
    """A connector whose connections limit the bytes of answers.

    aiohttp has no public hook for it, so its protocol factory is replaced; a test fails when a new
    version no longer uses it.
    """

    def __init__(self, memory: AnswerMemory, **options) -> None:
        super().__init__(**options)
        self._factory = lambda: BoundedConnection(self._loop, memory)
