from contextvars import ContextVar

from aiohttp import ClientRequest

REMAINING_HEADER = "X-Remaining-Ms"
MIN_REMAINING_S = 0.001

CALL_END_S: ContextVar[float] = ContextVar("call_end_s")
"""When the call of the running task ends, on the loop's clock; aiohttp builds requests without a
place for it."""


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
        remaining_s = CALL_END_S.get() - self.loop.time()
        if remaining_s < MIN_REMAINING_S:
            conn.release()
            raise CallOverError
        self.headers[REMAINING_HEADER] = str(int(remaining_s * 1000.0))
        conn.protocol.begin_request()
        return await super().send(conn)
