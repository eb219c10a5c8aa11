"""Carry out calls to upstreams with aiohttp."""

import asyncio
from collections.abc import Callable

from aiohttp import ClientError
from aiohttp.client_exceptions import ClientConnectorError, ConnectionTimeoutError

from geraniumlead.actions import CallUpstream
from geraniumlead.events import UpstreamAnswered
from geraniumlead.upstreams import ConnectionLost, NotReached, TimedOut, UpstreamAnswer
from geraniumlead_server.upstream_client.target import UpstreamTarget
from geraniumlead_server.upstream_client.wire import encode_subquery, read_answer


class UpstreamClient:
    """Run each call as a task and report its end.

    Every upstream has a session of its own, since its connection limit is its own. No
    connection carries two calls at once.
    """

    def __init__(self, report: Callable[[UpstreamAnswered], None]) -> None:
        self._report = report
        self._loop = asyncio.get_running_loop()
        self._targets: dict[str, UpstreamTarget] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def call(self, action: CallUpstream) -> None:
        """Start a call; its end is reported once, unless it is cancelled before."""
        self._tasks[action.call_id] = self._loop.create_task(self._run(action))

    def cancel(self, call_id: str) -> None:
        """End a call without a report; its connection is closed, which tells the upstream."""
        task = self._tasks.pop(call_id, None)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Cancel what runs and close all connections."""
        for task in self._tasks.values():
            task.cancel()
        for target in self._targets.values():
            await target.session.close()

    async def _run(self, action: CallUpstream) -> None:
        # A timer of the loop costs a tenth of aiohttp's own timeout for each request.
        timer = self._loop.call_later(action.timeout_ms / 1000.0, self._time_out, action.call_id)
        try:
            answer = await self._exchange(action)
        finally:
            timer.cancel()
        if self._tasks.pop(action.call_id, None) is not None:
            self._report(UpstreamAnswered(action.call_id, answer))

    def _time_out(self, call_id: str) -> None:
        task = self._tasks.pop(call_id, None)
        if task is not None:
            task.cancel()
            self._report(UpstreamAnswered(call_id, TimedOut()))

    async def _exchange(self, action: CallUpstream) -> UpstreamAnswer:
        target = self._target_for(action)
        headers = {
            "X-Request-Id": action.subquery.request_id,
            "X-Remaining-Ms": f"{action.timeout_ms:.0f}",
        }
        body = encode_subquery(action.subquery)
        try:
            async with target.session.post(target.url, data=body, headers=headers) as response:
                return read_answer(response.status, await response.read())
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            return NotReached(str(error))
        except (ClientError, OSError) as error:
            return ConnectionLost(type(error).__name__)

    def _target_for(self, action: CallUpstream) -> UpstreamTarget:
        target = self._targets.get(action.address)
        if target is None:
            target = UpstreamTarget.from_address(action.address, action.connections)
            self._targets[action.address] = target
        return target
