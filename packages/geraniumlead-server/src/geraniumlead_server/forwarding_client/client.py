"""Send attempts of opaque requests with aiohttp."""

import asyncio
import logging
from collections.abc import Callable

from aiohttp import ClientError, ClientSession, ClientTimeout, DummyCookieJar
from aiohttp.client_exceptions import ClientConnectorError, ConnectionTimeoutError
from yarl import URL

from geraniumlead.forwarding import (
    AttemptEnded,
    AttemptResult,
    NotReached,
    NotSent,
    PossiblyExecuted,
    StartAttempt,
)
from geraniumlead_server.answer_memory import ANSWER_TOO_LONG, AnswerMemory, AnswerTooLongError
from geraniumlead_server.forwarding_client.connections import (
    IDLE_S,
    AttemptConnector,
    AttemptRequest,
    DeadlineOverError,
)
from geraniumlead_server.forwarding_client.current_attempt import CURRENT_ATTEMPT, CurrentAttempt
from geraniumlead_server.platform import REQUEST_ID_HEADER, read_answer

CONNECT_TIMEOUT_S = 0.25
"""The longest round trip between regions takes 40 ms, and a busy upstream some 10 ms more. An
upstream without power never answers, and another one has to be tried in time."""

logger = logging.getLogger("geraniumlead")


class AttemptClient:
    """Runs each attempt as a task and reports its result once, unless it is cancelled before."""

    def __init__(
        self, report: Callable[[AttemptEnded], None], memory: AnswerMemory | None = None
    ) -> None:
        self._report = report
        self._memory = memory or AnswerMemory()
        self._loop = asyncio.get_running_loop()
        self._tasks: dict[int, asyncio.Task] = {}
        self._session: ClientSession | None = None

    def start(self, action: StartAttempt) -> None:
        """Start an attempt."""
        self._tasks[action.attempt_id] = self._loop.create_task(self._run(action))

    def cancel(self, attempt_id: int) -> None:
        """Cancel an attempt without a report; the upstream notices the closed connection."""
        task = self._tasks.pop(attempt_id, None)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Cancel all running attempts and close all connections."""
        for task in self._tasks.values():
            task.cancel()
        if self._session is not None:
            await self._session.close()

    async def _run(self, action: StartAttempt) -> None:
        current = CurrentAttempt(action)
        CURRENT_ATTEMPT.set(current)
        try:
            result = await self._exchange(action)
        except Exception as error:
            result = _describe_failure(error, current.is_written)
        finally:
            current.end()
        if self._tasks.pop(action.attempt_id, None) is not None:
            self._report(AttemptEnded(action.attempt_id, result))

    async def _exchange(self, action: StartAttempt) -> AttemptResult:
        """Send an attempt and return the result of its answer.

        Raise what the client library raises without an answer, also before anything was written.
        """
        request, upstream = action.request, action.upstream
        url = URL(f"http://{upstream.address}{request.target}", encoded=True)
        async with self._get_session().request(
            request.method,
            url,
            data=request.body or None,
            allow_redirects=False,
        ) as response:
            body = await response.read()
            return read_answer(request, response.status, response.headers.items(), body)

    def _get_session(self) -> ClientSession:
        if self._session is None:
            connector = AttemptConnector(
                REQUEST_ID_HEADER,
                self._memory,
                limit=0,
                keepalive_timeout=IDLE_S,
                use_dns_cache=False,
            )
            self._session = ClientSession(
                connector=connector,
                request_class=AttemptRequest,
                auto_decompress=False,
                cookie_jar=DummyCookieJar(),
                skip_auto_headers=("Accept", "Accept-Encoding", "Content-Type", "User-Agent"),
                timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            )
            # aiohttp retries a GET when a kept-alive connection breaks. The route and not the
            # method decides whether a request may be repeated: it could run twice.
            self._session._retry_connection = False
        return self._session


def _describe_failure(error: Exception, is_written: bool) -> AttemptResult:
    """Return the result of an attempt that got no answer.

    Failure: an entry of an upstream has an address or an id that can't be written. The attempt
    counted as a lost connection: unsafe requests failed although they were never sent, and popular
    ones were refused as requests that crash upstreams. What fails before any byte is written was
    not sent, whatever the error.
    """
    name = type(error).__name__
    match error:
        case DeadlineOverError():
            return NotSent()
        case ConnectionTimeoutError():
            return NotReached(name, is_timeout=True)
        case ClientConnectorError():
            return NotReached(name)
        case AnswerTooLongError():
            # The connection keeps the error, whose traceback has all that was received.
            error.__traceback__ = None
            # This side has closed the connection, which does not count as a crash of the upstream.
            return PossiblyExecuted(ANSWER_TOO_LONG)
        case ClientError() | OSError() | ValueError():
            pass
        case _:
            logger.error("attempt_failed", exc_info=error, extra={"fields": {"error": name}})
    if not is_written:
        return NotReached(name)
    return PossiblyExecuted(name, is_connection_lost=isinstance(error, ClientError | OSError))
