"""Pass events to the forwarder and carry out its actions."""

import asyncio
import logging
from collections.abc import Callable

from geraniumlead.forwarding import (
    CallerDisconnected,
    ForwardedRequest,
    Forwarder,
    ForwardingAction,
    ForwardingEvent,
    LogDecision,
    Reply,
    ReplyWritten,
    RequestArrived,
    RequestCheckError,
    SendReply,
    TimePassed,
)
from geraniumlead.routes import RequestLimits

FAILED_EVENT_PAUSE_MS = 100.0
"""Shortest time from an event that failed to the next timer."""

logger = logging.getLogger("geraniumlead")


class ForwardingDriver:
    """Holds the forwarder, its timer, and the futures of callers that wait for replies.

    Everything runs on one event loop; an event that occurs while another is handled waits for it.
    """

    def __init__(self, forwarder: Forwarder, carry_out: Callable[[ForwardingAction], None]) -> None:
        self.forwarder = forwarder
        self.observers: list[Callable[[LogDecision], None]] = []
        self._carry_out = carry_out
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = float("inf")
        self._pending_replies: dict[int, asyncio.Future] = {}
        self._decided_ms: dict[int, float] = {}
        self._last_key = 0
        self.failed_events = 0

    @property
    def limits(self) -> RequestLimits:
        """Return the limits on callers' requests that are in force."""
        configuration = self.forwarder.published.configuration
        return RequestLimits() if configuration is None else configuration.limits

    def now_ms(self) -> float:
        """Return the time of the monotonic clock in milliseconds."""
        return self._loop.time() * 1000.0

    def next_key(self) -> int:
        """Return a request key that is unique in this process."""
        self._last_key += 1
        return self._last_key

    def handle(self, event: ForwardingEvent) -> None:
        """Pass one event to the forwarder and carry out the resulting actions.

        Failure: an event raises an exception. It ends that event alone: what else is due at the
        same time is handled after a pause, since the same event might be due again at once.
        """
        earliest_ms = float("-inf")
        try:
            actions = self.forwarder.handle(event, self.now_ms())
        except Exception as error:
            self._record_failure(event, error)
            actions = self.forwarder.drain_actions()
            earliest_ms = self.now_ms() + FAILED_EVENT_PAUSE_MS
        self.carry_out_all(actions)
        self._arm_timer(earliest_ms)

    def _record_failure(self, event: ForwardingEvent, error: Exception) -> None:
        """Log an event that ended with an exception, and count it.

        A caller whose request it was gets an error, since nothing else would end the request.
        """
        self.failed_events += 1
        fields: dict = {"failed": type(event).__name__}
        match event, error:
            case RequestArrived(request=request), _:
                fields["request_id"] = request.request_id
                self._fail_reply(request.key, error)
            case _, RequestCheckError(key=key, request_id=request_id):
                fields["request_id"] = request_id
                self._fail_reply(key, error)
        logger.error("event_failed", exc_info=error, extra={"fields": fields})

    def _fail_reply(self, key: int, error: Exception) -> None:
        future = self._pending_replies.pop(key, None)
        if future is not None and not future.done():
            future.set_exception(error)

    def submit(self, request: ForwardedRequest) -> asyncio.Future:
        """Pass a request to the forwarder and return a future for its reply."""
        future = self._loop.create_future()
        self._pending_replies[request.key] = future
        self.handle(RequestArrived(request))
        return future

    def record_written(self, key: int) -> None:
        """Record that a reply was written to its caller's connection."""
        decided_ms = self._decided_ms.pop(key, None)
        if decided_ms is not None:
            self.handle(ReplyWritten(self.now_ms() - decided_ms))

    def handle_disconnect(self, key: int) -> None:
        """Report to the forwarder that a caller closed its connection."""
        if self._pending_replies.pop(key, None) is not None:
            self.handle(CallerDisconnected(key))

    def carry_out_all(self, actions: list[ForwardingAction]) -> None:
        """Carry out actions in order."""
        for action in actions:
            match action:
                case SendReply(key=key, reply=reply):
                    self._resolve(key, reply)
                case LogDecision():
                    for observe in self.observers:
                        observe(action)
                case _:
                    self._carry_out(action)

    def _resolve(self, key: int, reply: Reply) -> None:
        future = self._pending_replies.pop(key, None)
        if future is not None and not future.done():
            self._decided_ms[key] = self.now_ms()
            future.set_result(reply)

    def _arm_timer(self, earliest_ms: float) -> None:
        due_ms = max(earliest_ms, self.forwarder.next_wake_ms())
        if due_ms == self._timer_due_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_due_ms = due_ms
        if due_ms < float("inf"):
            self._timer = self._loop.call_at(due_ms / 1000.0, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer, self._timer_due_ms = None, float("inf")
        self.handle(TimePassed())
