import asyncio
import socket
import struct

from geraniumlead_server.answer_memory import AnswerMemory
from geraniumlead_server.bounded_connection import FIRST_FINAL_STATUS, BoundedConnection

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Linux's ``struct linger``: on, for 0 s."""


class ResettingConnection(BoundedConnection):
    """A client's connection that is reset if it is closed before its request is answered.

    Failure: the network to an upstream is cut. The caller leaves, and the connection is closed. The
    kernel goes on to send what the upstream has not acknowledged, so when the cut ends the request
    arrives, with the time that was left when it was written. A reset discards those bytes.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: AnswerMemory) -> None:
        super().__init__(loop, memory)
        self._is_answered = True

    def begin_request(self) -> None:
        """Record that a request is about to be written."""
        self._is_answered = False

    def feed_data(self, data, size: int = 0) -> None:
        """Record and queue the head of an answer; an interim one leaves the answer due."""
        self._is_answered = self._is_answered or data[0].code >= FIRST_FINAL_STATUS
        super().feed_data(data, size)

    def close(self) -> None:
        """Close the connection, or reset it while an answer is due."""
        if self._is_answered or not self.is_connected():
            super().close()
            return
        connection = self.transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.abort()
