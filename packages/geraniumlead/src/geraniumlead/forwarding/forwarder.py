from random import Random

from geraniumlead.forwarding.actions import ForwardingAction, LogDecision, SendReply
from geraniumlead.forwarding.events import (
    AttemptEnded,
    CallerDisconnected,
    ForwardingEvent,
    PeerMessageReceived,
    PublishedUpdates,
    ReplyWritten,
    RequestArrived,
    StoreLost,
    TimePassed,
)
from geraniumlead.forwarding.final_reply import UNAVAILABLE
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.peer_message_handler import PeerMessageHandler
from geraniumlead.forwarding.published_state import PublishedState
from geraniumlead.forwarding.replies import OwnReply
from geraniumlead.forwarding.request_runner import RequestRunner
from geraniumlead.forwarding.retry_after import RetryAfter
from geraniumlead.peering import PeerContact, PeerDirectory, StoreWatch
from geraniumlead.published_upstreams import UpstreamView
from geraniumlead.settings.forwarding_settings import ForwardingSettings

MAX_INCARNATION = 2**32 - 1
"""Largest incarnation. Only the processes of one instance have to differ, and each message carries
two of them."""

NOT_FOUND = 404


def draw_incarnation(random: Random) -> int:
    """Return an incarnation for a process that starts."""
    return random.randint(1, MAX_INCARNATION)


class Forwarder:
    """A state machine that forwards the opaque requests of one instance.

    All input is passed to ``handle``, with the time in milliseconds of a monotonic clock, and all
    output is returned as actions. The forwarder does no I/O, reads no clock and uses no global
    random state, so a run in virtual time executes the same code as production.
    """

    __slots__ = (
        "_actions",
        "_is_informed",
        "_is_isolated",
        "_peers",
        "_retry_after",
        "_runner",
        "_settings",
        "is_stopping",
        "published",
        "store_watch",
    )

    def __init__(
        self,
        settings: ForwardingSettings,
        random: Random,
        now_ms: float = 0.0,
        incarnation: int | None = None,
    ) -> None:
        """Create the forwarder of one process.

        ``incarnation`` identifies the process. Without one it is drawn from ``random``, as in
        simulated runs: a process that restarts with the same seed would draw the same again.
        """
        self._settings = settings
        self._actions: list[ForwardingAction] = []
        upstream_view = UpstreamView()
        self._retry_after = RetryAfter(random)
        contact = PeerContact(settings.instance_id, settings.address, settings.data_centre)
        if incarnation is None:
            incarnation = draw_incarnation(random)
        directory = PeerDirectory(
            contact, settings.seeds, incarnation, random, now_ms, settings.regions
        )
        self._runner = RequestRunner(
            settings, upstream_view, random, self._retry_after, self._actions, directory, now_ms
        )
        self.published = PublishedState(upstream_view, self._runner.chooser, self._actions)
        self._peers = PeerMessageHandler(
            directory, self._runner, self.published, self._actions, random
        )
        self.store_watch = StoreWatch(directory, settings.data_centre, settings.regions)
        self.is_stopping = False
        self._is_isolated = False
        self._is_informed = directory.is_informed(now_ms)

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this process."""
        return self._peers.directory.incarnation

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this instance."""
        if self.is_stopping or self._is_isolated or not self._is_informed:
            return False
        return self.published.can_serve

    @property
    def open_requests(self) -> int:
        """Return the number of open requests of callers and peers."""
        return len(self._runner)

    @property
    def crash_suspects(self) -> int:
        """Return the number of requests under which upstreams were lost."""
        return len(self._runner.crashes)

    def live_peers(self, now_ms: float) -> list[str]:
        """Return the instances of which a message was received recently."""
        return [peer.contact.instance_id for peer in self._peers.directory.live(now_ms)]

    def apply_settings(self, settings: ForwardingSettings, now_ms: float) -> None:
        """Apply changed settings; open requests continue."""
        self._settings = settings
        self._runner.apply_settings(settings, now_ms)
        self._peers.directory.set_seeds(settings.seeds)

    def handle(self, event: ForwardingEvent, now_ms: float) -> list[ForwardingAction]:
        """Handle an event and return the resulting actions in order."""
        match event:
            case RequestArrived(request=request):
                self._handle_request(request, now_ms)
            case CallerDisconnected(key=key):
                self._runner.drop(key, now_ms)
            case AttemptEnded(attempt_id=attempt_id, result=result):
                self._runner.finish_attempt(attempt_id, result, now_ms)
            case PublishedUpdates():
                self.published.handle_updates(event, now_ms)
            case StoreLost(detail=detail):
                self.published.record_store_lost(detail, now_ms)
            case PeerMessageReceived():
                self._peers.handle(event, now_ms, self.is_ready)
            case ReplyWritten(took_ms=took_ms):
                self._runner.processing_delay.record_write(took_ms, now_ms)
            case TimePassed():
                pass
        self._is_informed = self._is_informed or self._peers.directory.is_informed(now_ms)
        self.published.expire(now_ms)
        for upstream in self.published.drain_lost():
            self._runner.handle_lost_process(upstream, now_ms)
        self._runner.wake(now_ms)
        self._check_isolation(now_ms)
        self._peers.wake(now_ms, self.is_ready)
        return self.drain_actions()

    def next_wake_ms(self) -> float:
        """Return when ``handle`` needs TimePassed, unless another event comes first."""
        wake_ms = min(
            self._runner.next_wake_ms(),
            self.published.next_wake_ms(),
            self._peers.next_wake_ms(),
        )
        if self._is_informed:
            return wake_ms
        return min(wake_ms, self._peers.directory.informed_ms())

    def stop(self, now_ms: float) -> list[ForwardingAction]:
        """Become not ready and notify peers; open requests continue."""
        self.is_stopping = True
        self._peers.send_goodbye(now_ms)
        return self.drain_actions()

    def end_all(self, now_ms: float) -> list[ForwardingAction]:
        """End all open requests with a reply, because the process is about to exit."""
        self._runner.end_all(now_ms)
        return self.drain_actions()

    def _check_isolation(self, now_ms: float) -> None:
        """Detect and log when this instance is isolated from all upstreams, and when that ends."""
        is_isolated = self._runner.is_isolated(now_ms)
        if is_isolated != self._is_isolated:
            self._is_isolated = is_isolated
            self._actions.append(LogDecision("cut_off", {"is_cut_off": is_isolated}, "warning"))

    def find_refusal(self, host: str, path: str) -> OwnReply | None:
        """Return the reply to a request that no route can take; None if there is a route."""
        configuration = self.published.configuration
        if configuration is None:
            # With a 404 the caller would conclude that the route does not exist, although it may.
            return OwnReply(UNAVAILABLE, "no_configuration", self._retry_after.draw())
        if configuration.routes.find(host, path) is None:
            return OwnReply(NOT_FOUND, "no_route")
        return None

    def _handle_request(self, request: ForwardedRequest, now_ms: float) -> None:
        configuration = self.published.configuration
        route = None
        if configuration is not None:
            route = configuration.routes.find(request.host, request.path)
        if route is None:
            self._refuse(request, self.find_refusal(request.host, request.path))
            return
        self._runner.start(request, route, configuration, now_ms)

    def _refuse(self, request: ForwardedRequest, reply: OwnReply) -> None:
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

    def drain_actions(self) -> list[ForwardingAction]:
        """Remove and return the pending actions, with replies to peers as addressed messages.

        Besides those that ``handle`` returns there are some only after it has failed.
        """
        actions = [self._peers.address_reply(action) for action in self._actions]
        self._actions.clear()
        return [action for action in actions if action is not None]
