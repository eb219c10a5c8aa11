"""Call upstreams over HTTP with aiohttp."""

import asyncio
import logging
import math
from collections.abc import Callable

from aiohttp import ClientError
from aiohttp.client_exceptions import ClientConnectorError, ConnectionTimeoutError

from geraniumlead.actions import CallUpstream
from geraniumlead.events import UpstreamAnswered, UpstreamDisconnected
from geraniumlead.upstreams import ConnectionLost, NotReached, TimedOut, UpstreamAnswer
from geraniumlead_server.upstream_client.running_call import RunningCall
from geraniumlead_server.upstream_client.target import UpstreamTarget
from geraniumlead_server.upstream_client.timed_request import CURRENT_CALL, CallOverError, TimedCall
from geraniumlead_server.upstream_client.wire import encode_subquery, read_answer

logger = logging.getLogger("geraniumlead")


class UpstreamClient:
    """Runs each call as a task and reports its end.

    Every upstream has a separate session, since it has a separate connection limit. No
    connection carries two calls at once.
    """

    def __init__(self, report: Callable[[UpstreamAnswered | UpstreamDisconnected], None]) -> None:
        self._report = report
        self._loop = asyncio.get_running_loop()
        self._targets: dict[str, UpstreamTarget] = {}
        self._calls: dict[str, RunningCall] = {}
        self._is_closing = False

    def call(self, action: CallUpstream) -> None:
        """Start a call; its end is reported once, unless it is cancelled first."""
        wait_ms = action.timeout_ms
        if action.overdue_ms is not None:
            wait_ms = min(wait_ms, action.overdue_ms)
        # For each request a timer of the loop costs a tenth of aiohttp's own timeout.
        timer = self._loop.call_later(wait_ms / 1000.0, self._check_call, action.call_id)
        started_s = self._loop.time()
        task = self._loop.create_task(self._run(action, started_s))
        self._calls[action.call_id] = RunningCall(action, task, started_s, timer)

    def cancel(self, call_id: str) -> None:
        """End a call without a report; closing its connection informs the upstream."""
        call = self._calls.pop(call_id, None)
        if call is not None:
            call.timer.cancel()
            call.task.cancel()

    async def close(self) -> None:
        """Cancel all calls and close all connections."""
        self._is_closing = True
        for call in self._calls.values():
            call.timer.cancel()
            call.task.cancel()
        for target in self._targets.values():
            await target.session.close()

    async def _run(self, action: CallUpstream, started_s: float) -> None:
        timed_call = TimedCall(started_s + action.timeout_ms / 1000.0)
        CURRENT_CALL.set(timed_call)
        try:
            answer = await self._exchange(action)
        except Exception as error:
            answer = _describe_failure(error, timed_call.is_written)
        call = self._calls.pop(action.call_id, None)
        if call is not None:
            call.timer.cancel()
            self._report(UpstreamAnswered(action.call_id, answer))

    def _check_call(self, call_id: str) -> None:
        """End a call that has timed out, or whose connection has gone silent.

        Failure: a network device drops its state of a connection. The connection is not reset,
        calls on it get no answer until their deadline, and the pool reuses it. If the upstream
        has meanwhile answered on another connection, this connection is at fault: the call is
        ended, which closes the connection, and it does not count as a failure of the upstream.
        """
        call = self._calls.get(call_id)
        if call is None:
            return
        now_s = self._loop.time()
        remaining_s = call.started_s + call.action.timeout_ms / 1000.0 - now_s
        target = self._targets.get(call.action.address)
        is_silent = target is not None and target.last_answer_s > call.started_s
        # The loop may run a timer too early by its clock's resolution.
        if remaining_s > 0.001 and not is_silent:
            wait_s = min(remaining_s, (call.action.overdue_ms or math.inf) / 1000.0)
            call.timer = self._loop.call_later(wait_s, self._check_call, call_id)
            return
        self.cancel(call_id)
        is_silent = is_silent and remaining_s > 0.001
        self._report(UpstreamAnswered(call_id, TimedOut(silent_connection=is_silent)))

    async def _exchange(self, action: CallUpstream) -> UpstreamAnswer:
        """Send a call and return its answer; raise what the client library raises without one."""
        target = self._target_for(action)
        headers = {
            "X-Request-Id": action.subquery.request_id,
        }
        body = encode_subquery(action.subquery)
        async with target.session.post(target.url, data=body, headers=headers) as response:
            body = await response.read()
            target.last_answer_s = self._loop.time()
            return read_answer(response.status, body)

    def _handle_disconnection(self, event: UpstreamDisconnected) -> None:
        if not self._is_closing:
            self._report(event)

    def _target_for(self, action: CallUpstream) -> UpstreamTarget:
        target = self._targets.get(action.address)
        if target is None:
            event = UpstreamDisconnected(action.subquery.upstream_id)
            target = UpstreamTarget.from_address(
                action.address, action.connections, lambda: self._handle_disconnection(event)
            )
            self._targets[action.address] = target
        return target


def _describe_failure(error: Exception, is_written: bool) -> UpstreamAnswer:
    """Return the answer of a call that got none; what fails before it is written was not sent."""
    name = type(error).__name__
    match error:
        case CallOverError():
            return NotReached("no time left")
        case ClientConnectorError() | ConnectionTimeoutError():
            return NotReached(str(error))
        case ClientError() | OSError() | ValueError():
            pass
        case _:
            logger.error("call_failed", exc_info=error, extra={"fields": {"error": name}})
    return ConnectionLost(name) if is_written else NotReached(name)
