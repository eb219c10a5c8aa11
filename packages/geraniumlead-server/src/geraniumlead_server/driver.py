"""Pass events to an instance's state machine and carry out its actions."""

import asyncio
import logging
from collections.abc import Callable
from time import time

from geraniumlead.actions import (
    Action,
    AnswerCaller,
    AnswerTicketRequest,
    CallUpstream,
    CancelCall,
    ReadPlatform,
    Report,
    SendToPeer,
    StopNow,
)
from geraniumlead.events import CallerDisconnected, Event, QueryArrived, TicketRequested, TimerFired
from geraniumlead.instance import Instance
from geraniumlead.requests import CallerRequest

logger = logging.getLogger("geraniumlead")


class InstanceDriver:
    """Holds an instance, its timer, and the futures of the callers that wait for answers.

    ``carry_out`` is called with each action that needs the network. Everything runs on one
    event loop, so ``handle`` never runs concurrently.
    """

    def __init__(self, instance: Instance, carry_out: Callable[[Action], None]) -> None:
        self.instance = instance
        self.stopped = asyncio.Event()
        self._carry_out = carry_out
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = float("inf")
        self._pending_futures: dict[str, asyncio.Future] = {}
        self.observers: list[Callable[[AnswerCaller, float], None]] = []
        self.arrival_observers: list[Callable[[CallerRequest], None]] = []

    def now_ms(self) -> float:
        """Return the time of the monotonic clock in milliseconds."""
        return self._loop.time() * 1000.0

    def start(self) -> None:
        """Start the instance, carry out its first actions and fire its timer once."""
        self._carry_out_all(self.instance.start(self.now_ms()))
        self.handle(TimerFired(time()))

    def handle(self, event: Event) -> None:
        """Pass one event to the instance and carry out the resulting actions."""
        self._carry_out_all(self.instance.handle(event, self.now_ms()))
        self._arm_timer()

    async def run_query(self, event: QueryArrived) -> AnswerCaller:
        """Return the outcome of a request; cancelling the wait reports a caller's disconnection."""
        for observe in self.arrival_observers:
            observe(event.request)
        return await self._handle_and_wait(event.request.request_id, event)

    async def request_ticket(self, event: TicketRequested) -> AnswerTicketRequest:
        """Return a ticket, or the reason for its refusal."""
        return await self._handle_and_wait(event.request_id, event)

    async def _handle_and_wait(self, request_id: str, event: Event):
        future = self._loop.create_future()
        self._pending_futures[request_id] = future
        try:
            self.handle(event)
            return await future
        except asyncio.CancelledError:
            self.handle(CallerDisconnected(request_id))
            raise
        finally:
            self._pending_futures.pop(request_id, None)

    def _carry_out_all(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case AnswerCaller(request_id=request_id):
                    for observe in self.observers:
                        observe(action, self.now_ms())
                    self._resolve(request_id, action)
                case AnswerTicketRequest(request_id=request_id):
                    self._resolve(request_id, action)
                case Report(name=name, fields=fields, level=level):
                    logger.log(logging.getLevelName(level.upper()), name, extra={"fields": fields})
                case StopNow():
                    self.stopped.set()
                case CallUpstream() | CancelCall() | SendToPeer() | ReadPlatform():
                    self._carry_out(action)

    def _resolve(self, request_id: str, action: AnswerCaller | AnswerTicketRequest) -> None:
        future = self._pending_futures.get(request_id)
        if future is not None and not future.done():
            future.set_result(action)

    def _arm_timer(self) -> None:
        due_ms = self.instance.next_wake_ms()
        if due_ms == self._timer_due_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_ms = due_ms
        self._timer = self._loop.call_at(due_ms / 1000.0, self._handle_timer)

    def _handle_timer(self) -> None:
        self._timer, self._timer_due_ms = None, float("inf")
        self.handle(TimerFired(time()))
