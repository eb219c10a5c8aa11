from contextvars import ContextVar

from aiohttp import ClientRequest

REMAINING_HEADER = "X-Remaining-Ms"
MIN_REMAINING_S = 0.001


class TimedCall:
    """The call of a task, until ``end_s`` on the loop's clock.

    ``is_written`` is set once any byte of it may have been written.
    """

    __slots__ = ("end_s", "is_written")

    def __init__(self, end_s: float) -> None:
        self.end_s = end_s
        self.is_written = False


CURRENT_CALL: ContextVar[TimedCall] = ContextVar("current_call")
"""The call of the running task; aiohttp builds requests without a place for it."""


class CallOverError(Exception):
    """Raised when the end of a call comes before it can be written."""


class TimedRequest(ClientRequest):
    """A request that says, when it is written, how much time its upstream has left.

    Failure: the time is fixed when the call starts. The call then waits until one of the upstream's
    connections is free, and the upstream works on after the caller has left.
    """

    async def send(self, conn):
        """Set the remaining time and write the request.

        Raise CallOverError, and keep the connection, if no time is left.
        """
        call = CURRENT_CALL.get()
        remaining_s = call.end_s - self.loop.time()
        if remaining_s < MIN_REMAINING_S:
            conn.release()
            raise CallOverError
        self.headers[REMAINING_HEADER] = str(int(remaining_s * 1000.0))
        conn.protocol.begin_request()
        call.is_written = True
        return await super().send(conn)
