"""Carry out calls to upstreams with aiohttp."""

import asyncio
from collections.abc import Callable

from aiohttp import ClientError, ClientSession, ClientTimeout, ServerDisconnectedError, TCPConnector
from aiohttp.client_exceptions import ClientConnectorError

from geraniumlead.actions import CallUpstream
from geraniumlead.events import UpstreamAnswered
from geraniumlead.upstreams import ConnectionLost, NotReached, TimedOut, UpstreamAnswer
from geraniumlead_server.upstream_client.wire import encode_subquery, read_answer

PATH = "/v1/subqueries"
IDLE_SECONDS = 60.0


class UpstreamClient:
    """Run each call as a task and report its end.

    Every upstream has a session of its own, since its connection limit is its own. No
    connection carries two calls at once.
    """

    def __init__(self, report: Callable[[UpstreamAnswered], None]) -> None:
        self._report = report
        self._sessions: dict[str, ClientSession] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def call(self, action: CallUpstream) -> None:
        """Start a call; its end is reported once, unless it is cancelled before."""
        task = asyncio.get_running_loop().create_task(self._run(action))
        self._tasks[action.call_id] = task

    def cancel(self, call_id: str) -> None:
        """End a call without a report; its connection is closed, which tells the upstream."""
        task = self._tasks.pop(call_id, None)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Cancel what runs and close all connections."""
        for task in self._tasks.values():
            task.cancel()
        for session in self._sessions.values():
            await session.close()

    async def _run(self, action: CallUpstream) -> None:
        answer = await self._exchange(action)
        if self._tasks.pop(action.call_id, None) is not None:
            self._report(UpstreamAnswered(action.call_id, answer))

    async def _exchange(self, action: CallUpstream) -> UpstreamAnswer:
        session = self._session_for(action)
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": action.subquery.request_id,
            "X-Remaining-Ms": f"{action.timeout_ms:.0f}",
        }
        timeout = ClientTimeout(total=action.timeout_ms / 1000.0)
        try:
            async with session.post(
                f"http://{action.address}{PATH}",
                data=encode_subquery(action.subquery),
                headers=headers,
                timeout=timeout,
            ) as response:
                return read_answer(response.status, await response.read(), action.subquery)
        except TimeoutError:
            return TimedOut()
        except ClientConnectorError as error:
            return NotReached(str(error))
        except (ServerDisconnectedError, ClientError, OSError) as error:
            return ConnectionLost(type(error).__name__)

    def _session_for(self, action: CallUpstream) -> ClientSession:
        session = self._sessions.get(action.address)
        if session is None:
            connector = TCPConnector(
                limit=action.connections, keepalive_timeout=IDLE_SECONDS, use_dns_cache=False
            )
            session = ClientSession(connector=connector, auto_decompress=False)
            self._sessions[action.address] = session
        return session
