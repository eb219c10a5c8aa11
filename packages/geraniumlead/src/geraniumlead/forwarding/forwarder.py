"""Handle one event after another: event in, actions out."""

from random import Random

from geraniumlead.fleet import FleetView
from geraniumlead.forwarding.actions import ForwardingAction, LogDecision, SendReply
from geraniumlead.forwarding.events import (
    AttemptEnded,
    CallerLeft,
    ForwardingEvent,
    PublishedNews,
    RequestArrived,
    StoreLost,
    TimePassed,
)
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.forwarding_settings import ForwardingSettings
from geraniumlead.forwarding.published_state import PublishedState
from geraniumlead.forwarding.replies import OwnReply, Reply
from geraniumlead.forwarding.request_runner import RequestRunner
from geraniumlead.forwarding.retry_after import RetryAfter

NOT_FOUND = 404


class Forwarder:
    """Serve opaque requests as one instance.

    All input comes through ``handle``, with the time in milliseconds of a monotonic clock;
    all output is the returned actions. Nothing here does I/O, reads a clock or uses global
    randomness, so a run in virtual time is the program itself.
    """

    __slots__ = ("_actions", "_retry_after", "_runner", "is_stopping", "published")

    def __init__(self, settings: ForwardingSettings, random: Random) -> None:
        self._actions: list[ForwardingAction] = []
        fleet = FleetView()
        self._retry_after = RetryAfter(random)
        self._runner = RequestRunner(settings, fleet, random, self._retry_after, self._actions)
        self.published = PublishedState(fleet, self._runner.chooser, self._actions)
        self.is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Return what the balancer is told."""
        return not self.is_stopping and self.published.can_serve

    @property
    def open_requests(self) -> int:
        """Return how many callers wait for an answer."""
        return len(self._runner)

    def set_instances(self, count: int) -> None:
        """Take over how many instances share the limits of the fleet."""
        self._runner.set_instances(count)

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Take over changed settings; open requests go on."""
        self._runner.apply_settings(settings)

    def handle(self, event: ForwardingEvent, now_ms: float) -> list[ForwardingAction]:
        """Take in one event and return what follows from it, in order."""
        match event:
            case RequestArrived(request=request):
                self._take_request(request, now_ms)
            case CallerLeft(key=key):
                self._runner.drop(key, now_ms)
            case AttemptEnded(attempt_id=attempt_id, result=result):
                self._runner.finish_attempt(attempt_id, result, now_ms)
            case PublishedNews():
                self.published.take(event, now_ms)
            case StoreLost(detail=detail):
                self.published.note_lost(detail, now_ms)
            case TimePassed():
                pass
        self.published.expire(now_ms)
        self._runner.wake(now_ms)
        actions = list(self._actions)
        self._actions.clear()
        return actions

    def next_wake_ms(self) -> float:
        """Return when ``handle`` wants TimePassed, if nothing happens before."""
        return min(self._runner.next_wake_ms(), self.published.next_wake_ms())

    def end_all(self, now_ms: float) -> list[ForwardingAction]:
        """Answer everything that is open, for the process is about to end."""
        self._runner.end_all(now_ms)
        actions = list(self._actions)
        self._actions.clear()
        return actions

    def _take_request(self, request: ForwardedRequest, now_ms: float) -> None:
        configuration = self.published.configuration
        if configuration is None:
            # A 404 would be believed, and the route may well exist.
            refusal = OwnReply(503, "no_configuration", self._retry_after.draw())
            self._refuse(request, refusal)
            return
        route = configuration.routes.find(request.host, request.path)
        if route is None:
            self._refuse(request, OwnReply(NOT_FOUND, "no_route"))
            return
        self._runner.start(request, route, configuration, now_ms)

    def _refuse(self, request: ForwardedRequest, reply: Reply) -> None:
        configuration = self.published.configuration
        fields = {
            "request_id": request.request_id,
            "status": reply.status,
            "reason": reply.reason,
            "version": None if configuration is None else configuration.version,
            "path": request.path,
        }
        self._actions.append(LogDecision("request", fields, "warning"))
        self._actions.append(SendReply(request.key, reply))
