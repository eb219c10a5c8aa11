"""Drive the state machine: feed it events and carry out its actions."""

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
    """Hold an instance, its timer, and the callers that wait for answers.

    ``carry_out`` is called with each action that is meant for the network. Everything runs
    on one loop, so ``handle`` is never entered twice at once.
    """

    def __init__(self, instance: Instance, carry_out: Callable[[Action], None]) -> None:
        self.instance = instance
        self.stopped = asyncio.Event()
        self._carry_out = carry_out
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = float("inf")
        self._waiting: dict[str, asyncio.Future] = {}
        self.observers: list[Callable[[AnswerCaller, float], None]] = []
        self.arrival_observers: list[Callable[[CallerRequest], None]] = []

    def now_ms(self) -> float:
        """Return the monotonic clock in milliseconds."""
        return self._loop.time() * 1000.0

    def start(self) -> None:
        """Carry out the instance's first actions."""
        self._carry_out_all(self.instance.start(self.now_ms()))
        self.handle(TimerFired(time()))

    def handle(self, event: Event) -> None:
        """Pass one event to the instance and carry out what follows."""
        self._carry_out_all(self.instance.handle(event, self.now_ms()))
        self._arm_timer()

    async def ask(self, event: QueryArrived) -> AnswerCaller:
        """Wait for the outcome of a request; a cancelled wait tells that the caller is gone."""
        for observe in self.arrival_observers:
            observe(event.request)
        return await self._wait(event.request.request_id, event)

    async def ask_ticket(self, event: TicketRequested) -> AnswerTicketRequest:
        """Wait for a ticket."""
        return await self._wait(event.request_id, event)

    async def _wait(self, request_id: str, event: Event):
        future = self._loop.create_future()
        self._waiting[request_id] = future
        try:
            self.handle(event)
            return await future
        except asyncio.CancelledError:
            self.handle(CallerDisconnected(request_id))
            raise
        finally:
            self._waiting.pop(request_id, None)

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
        future = self._waiting.get(request_id)
        if future is not None and not future.done():
            future.set_result(action)

    def _arm_timer(self) -> None:
        due_ms = self.instance.next_wake_ms()
        if due_ms == self._timer_due_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_ms = due_ms
        self._timer = self._loop.call_at(due_ms / 1000.0, self._fire)

    def _fire(self) -> None:
        self._timer, self._timer_due_ms = None, float("inf")
        self.handle(TimerFired(time()))
