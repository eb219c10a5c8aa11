"""Carry out calls to upstreams with aiohttp."""

import asyncio
import math
from collections.abc import Callable

from aiohttp import ClientError
from aiohttp.client_exceptions import ClientConnectorError, ConnectionTimeoutError

from geraniumlead.actions import CallUpstream
from geraniumlead.events import UpstreamAnswered, UpstreamDisconnected
from geraniumlead.upstreams import ConnectionLost, NotReached, TimedOut, UpstreamAnswer
from geraniumlead_server.upstream_client.running_call import RunningCall
from geraniumlead_server.upstream_client.target import UpstreamTarget
from geraniumlead_server.upstream_client.wire import encode_subquery, read_answer


class UpstreamClient:
    """Run each call as a task and report its end.

    Every upstream has a session of its own, since its connection limit is its own. No
    connection carries two calls at once.
    """

    def __init__(self, report: Callable[[UpstreamAnswered | UpstreamDisconnected], None]) -> None:
        self._report = report
        self._loop = asyncio.get_running_loop()
        self._targets: dict[str, UpstreamTarget] = {}
        self._calls: dict[str, RunningCall] = {}
        self._is_closing = False

    def call(self, action: CallUpstream) -> None:
        """Start a call; its end is reported once, unless it is cancelled before."""
        wait_ms = action.timeout_ms
        if action.overdue_ms is not None:
            wait_ms = min(wait_ms, action.overdue_ms)
        # A timer of the loop costs a tenth of aiohttp's own timeout for each request.
        timer = self._loop.call_later(wait_ms / 1000.0, self._look_after, action.call_id)
        task = self._loop.create_task(self._run(action))
        self._calls[action.call_id] = RunningCall(action, task, self._loop.time(), timer)

    def cancel(self, call_id: str) -> None:
        """End a call without a report; its connection is closed, which tells the upstream."""
        call = self._calls.pop(call_id, None)
        if call is not None:
            call.timer.cancel()
            call.task.cancel()

    async def close(self) -> None:
        """Cancel what runs and close all connections."""
        self._is_closing = True
        for call in self._calls.values():
            call.timer.cancel()
            call.task.cancel()
        for target in self._targets.values():
            await target.session.close()

    async def _run(self, action: CallUpstream) -> None:
        answer = await self._exchange(action)
        call = self._calls.pop(action.call_id, None)
        if call is not None:
            call.timer.cancel()
            self._report(UpstreamAnswered(action.call_id, answer))

    def _look_after(self, call_id: str) -> None:
        """End a call whose time is over, or whose connection has gone silent.

        Failure: something between the two ends forgets a connection. Nothing is reset, calls
        on it get no answer until their deadline, and the pool hands it out again. When the
        upstream meanwhile answered on another connection, this one is at fault: the call is
        ended, which closes the connection, and the upstream is not blamed.
        """
        call = self._calls.get(call_id)
        if call is None:
            return
        now_s = self._loop.time()
        left_s = call.started_s + call.action.timeout_ms / 1000.0 - now_s
        target = self._targets.get(call.action.address)
        is_silent = target is not None and target.answered_s > call.started_s
        # The loop may run a timer early by its clock's resolution.
        if left_s > 0.001 and not is_silent:
            wait_s = min(left_s, (call.action.overdue_ms or math.inf) / 1000.0)
            call.timer = self._loop.call_later(wait_s, self._look_after, call_id)
            return
        self.cancel(call_id)
        is_silent = is_silent and left_s > 0.001
        self._report(UpstreamAnswered(call_id, TimedOut(silent_connection=is_silent)))

    async def _exchange(self, action: CallUpstream) -> UpstreamAnswer:
        target = self._target_for(action)
        headers = {
            "X-Request-Id": action.subquery.request_id,
            "X-Remaining-Ms": f"{action.timeout_ms:.0f}",
        }
        body = encode_subquery(action.subquery)
        try:
            async with target.session.post(target.url, data=body, headers=headers) as response:
                body = await response.read()
                target.answered_s = self._loop.time()
                return read_answer(response.status, body)
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            return NotReached(str(error))
        except (ClientError, OSError) as error:
            return ConnectionLost(type(error).__name__)

    def _take_disconnection(self, lost: UpstreamDisconnected) -> None:
        if not self._is_closing:
            self._report(lost)

    def _target_for(self, action: CallUpstream) -> UpstreamTarget:
        target = self._targets.get(action.address)
        if target is None:
            lost = UpstreamDisconnected(action.subquery.upstream_id)
            target = UpstreamTarget.from_address(
                action.address, action.connections, lambda: self._take_disconnection(lost)
            )
            self._targets[action.address] = target
        return target
