"""Pooled connections on which every answer belongs to its request."""

import asyncio

from aiohttp import ClientPayloadError, ClientRequest, TCPConnector, hdrs
from multidict import CIMultiDict

from geraniumlead_server.answer_memory import AnswerMemory
from geraniumlead_server.forwarding_client.current_attempt import CURRENT_ATTEMPT
from geraniumlead_server.platform import attempt_headers, set_time_left
from geraniumlead_server.resetting_connection import ResettingConnection

IDLE_S = 30.0
"""Time after which an idle connection is closed if the upstream specifies no keep-alive time."""

IDLE_MARGIN_S = 1.0
"""Subtracted from an upstream's keep-alive time: its clock starts earlier, and it counts in whole
seconds. A request that is sent while the upstream closes the connection may or may not have run."""


class AttemptConnection(ResettingConnection):
    """A connection that drops answers to other requests.

    Failure: an upstream sends a second, late answer to an old request on a kept-alive connection,
    and it reaches the caller of the next request. The request id in the answer tells them apart,
    and a connection with unsolicited bytes is not used again.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, id_header: str, memory: AnswerMemory
    ) -> None:
        super().__init__(loop, memory)
        self._id_header = id_header
        self._expected_id: str | None = None
        self._answered_s = loop.time()
        self._idle_s = IDLE_S

    def expect(self, request_id: str | None) -> None:
        """Accept only answers with this request id, or without one, from now on."""
        self._expected_id = request_id
        self.begin_request()

    def feed_data(self, data, size: int = 0) -> None:
        """Queue an answer, unless it belongs to another request."""
        message = data[0]
        found_id = message.headers.get(self._id_header)
        if found_id is not None and found_id != self._expected_id:
            self.force_close()
            return
        self._answered_s = self._loop.time()
        self._idle_s = _read_idle_s(message.headers.get("Keep-Alive"))
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer without a length whose connection is reset.

        The end of the connection marks the end of such an answer. aiohttp accepts a reset as that
        end, too, and a partial answer would look complete.
        """
        if exc is not None and self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(ClientPayloadError("connection reset in an answer"))
        super().connection_lost(exc)

    def is_usable(self) -> bool:
        """Return whether the idle connection may carry another request."""
        idle_s = self._loop.time() - self._answered_s
        return self.is_connected() and not self.should_close and idle_s < self._idle_s


class AttemptConnector(TCPConnector):
    """A connector that reuses only connections that are still usable.

    aiohttp checks for unsolicited bytes only when a connection is released, not when they arrive
    later. It has no public hook for either, so its protocol factory and its look-up method are
    replaced; a test fails when a new version no longer uses them.
    """

    def __init__(self, id_header: str, memory: AnswerMemory, **options) -> None:
        super().__init__(**options)
        self._factory = lambda: AttemptConnection(self._loop, id_header, memory)

    async def _get(self, key, traces):
        while (connection := await super()._get(key, traces)) is not None:
            if connection.protocol.is_usable():
                return connection
            connection.close()
        return None


MIN_HANDED_MS = 1.0
"""Least time that an upstream is handed; its header counts in whole milliseconds."""


class DeadlineOverError(Exception):
    """Raised when the end of a request comes before it can be written."""


class AttemptRequest(ClientRequest):
    """A request that says, when it is written, how much time is left and which answer it expects.

    Failure: the time is fixed when the attempt is decided. It then waits for a connection or a
    busy event loop, and its upstream works on after the caller has left.
    """

    def update_headers(self, headers) -> None:
        """Take the headers of the attempt, instead of those of the session.

        aiohttp would copy them one by one, twice. For a query of thousands of fields over many
        shards that takes a second, in which no other request is read.
        """
        attempt = CURRENT_ATTEMPT.get().action
        self.headers = CIMultiDict(attempt_headers(attempt.request, attempt.upstream.upstream_id))
        hosts = self.headers.getall(hdrs.HOST, ())
        if len(hosts) != 1:
            self.headers[hdrs.HOST] = hosts[-1] if hosts else self.url.host_port_subcomponent

    async def send(self, conn):
        """Set the time left and the expected request id, and write the request.

        Raise DeadlineOverError, and keep the connection, if no time is left.
        """
        current = CURRENT_ATTEMPT.get()
        deadline = current.action.deadline
        now_ms = self.loop.time() * 1000.0
        if deadline.left_ms(now_ms) < MIN_HANDED_MS:
            conn.release()
            raise DeadlineOverError
        deadline.record_handed(set_time_left(self.headers, deadline.left_ms(now_ms)), now_ms)
        conn.protocol.expect(self.headers.get(conn.protocol._id_header))
        current.is_written = True
        try:
            return await super().send(conn)
        except ValueError:
            # aiohttp raises it for a header that it can't write, before it writes any.
            current.is_written = False
            raise


def _read_idle_s(keep_alive: str | None) -> float:
    """Return how long a connection may stay idle, from a Keep-Alive header."""
    for part in (keep_alive or "").split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdigit():
            return max(0.0, float(value) - IDLE_MARGIN_S)
    return IDLE_S
