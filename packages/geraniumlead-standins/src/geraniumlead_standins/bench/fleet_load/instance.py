from collections import deque
from collections.abc import Callable
from random import Random

from geraniumlead.forwarding import (
    Forwarder,
    ForwardingAction,
    ForwardingEvent,
    ForwardingSettings,
    LogDecision,
    StartAttempt,
    TimePassed,
)
from geraniumlead.peering.outgoing_peer_message import OutgoingPeerMessage
from geraniumlead_standins.bench.fleet_load.connections import Connections
from geraniumlead_standins.bench.fleet_load.load import REGIONS, FleetLoad
from geraniumlead_standins.virtual import EventQueue


def address_of(number: int) -> str:
    """Return the peer address of an instance."""
    return f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:1"


class ModelInstance:
    """A forwarder on a modelled processor that handles one event at a time.

    ``execute`` is called with each action when the processor has done the work for it.
    """

    def __init__(
        self,
        number: int,
        load: FleetLoad,
        queue: EventQueue,
        execute: Callable[["ModelInstance", ForwardingAction], None],
        seed: int,
    ) -> None:
        self.address = address_of(number)
        self.instance_id = f"entry-{number + 1}"
        self.data_centre = load.data_centre_of(number)
        self.connections = Connections()
        self.logged: list[LogDecision] = []
        self._costs = load.costs
        self._core_share = load.core_share
        self._queue = queue
        self._execute = execute
        self._queued_events: deque[tuple[float, ForwardingEvent]] = deque()
        self._is_busy = False
        self.is_dead = False
        self._wake_ms = float("inf")
        settings = ForwardingSettings(
            instance_id=self.instance_id,
            data_centre=self.data_centre,
            address=self.address,
            regions=REGIONS,
            seeds=tuple(address_of(seed_number) for seed_number in range(3)),
            extra_share=0.2,
            extra_slack=load.extra_slack,
        )
        self.forwarder = Forwarder(settings, Random(f"{seed}/{number}"))

    def enqueue(self, event: ForwardingEvent, cost_ms: float) -> None:
        """Queue an event for the processor, which needs ``cost_ms`` of a whole core for it."""
        if self.is_dead:
            return
        self._queued_events.append((cost_ms, event))
        if not self._is_busy:
            self._begin_event()

    def _begin_event(self) -> None:
        self._is_busy = True
        cost_ms, event = self._queued_events.popleft()
        done_ms = self._queue.now_ms + cost_ms / self._core_share
        self._queue.add(done_ms, lambda: self._handle(event))

    def _handle(self, event: ForwardingEvent) -> None:
        if self.is_dead:
            return
        at_ms = self._queue.now_ms
        for action in self.forwarder.handle(event, at_ms):
            at_ms += self._cost_ms(action, at_ms) / self._core_share
            self._queue.add(at_ms, lambda action=action: self._execute(self, action))
        self._queue.add(at_ms, self._finish_event)

    def _finish_event(self) -> None:
        if self._queued_events:
            self._begin_event()
        else:
            self._is_busy = False
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        wake_ms = self.forwarder.next_wake_ms()
        if wake_ms < self._wake_ms or self._wake_ms <= self._queue.now_ms:
            self._wake_ms = wake_ms
            if wake_ms < float("inf"):
                self._queue.add(wake_ms, lambda: self._wake(wake_ms))

    def _wake(self, wake_ms: float) -> None:
        if wake_ms == self._wake_ms:
            self._wake_ms = float("inf")
            self.enqueue(TimePassed(), self._costs.timer_ms)

    def _cost_ms(self, action: ForwardingAction, now_ms: float) -> float:
        match action:
            case StartAttempt(attempt_id=attempt_id, upstream=upstream):
                is_reused = self.connections.acquire(attempt_id, upstream.upstream_id, now_ms)
                return (
                    self._costs.reused_connection_ms if is_reused else self._costs.new_connection_ms
                )
            case OutgoingPeerMessage():
                return self._costs.message_ms
            case LogDecision():
                self.logged.append(action)
        return 0.0
