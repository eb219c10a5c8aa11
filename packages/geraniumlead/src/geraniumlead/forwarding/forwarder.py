"""Handle one event after another: event in, actions out."""

from random import Random

from geraniumlead.fleet import FleetView
from geraniumlead.forwarding.actions import ForwardingAction, LogDecision, SendReply
from geraniumlead.forwarding.closing import UNAVAILABLE
from geraniumlead.forwarding.events import (
    AttemptEnded,
    CallerLeft,
    ForwardingEvent,
    PeerHeard,
    PublishedUpdates,
    ReplyWritten,
    RequestArrived,
    StoreLost,
    TimePassed,
)
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.peer_message_handler import PeerMessageHandler
from geraniumlead.forwarding.published_state import PublishedState
from geraniumlead.forwarding.replies import OwnReply
from geraniumlead.forwarding.request_runner import RequestRunner
from geraniumlead.forwarding.retry_after import RetryAfter
from geraniumlead.peering import PeerContact, PeerDirectory, StoreWatch
from geraniumlead.settings.forwarding_settings import ForwardingSettings

INCARNATION_BITS = 48
NOT_FOUND = 404


class Forwarder:
    """Serve opaque requests as one instance.

    All input comes through ``handle``, with the time in milliseconds of a monotonic clock;
    all output is the returned actions. Nothing here does I/O, reads a clock or uses global
    randomness, so a run in virtual time is the program itself.
    """

    __slots__ = (
        "_actions",
        "_is_cut_off",
        "_peers",
        "_retry_after",
        "_runner",
        "_settings",
        "is_stopping",
        "published",
        "store_watch",
    )

    def __init__(self, settings: ForwardingSettings, random: Random, now_ms: float = 0.0) -> None:
        self._settings = settings
        self._actions: list[ForwardingAction] = []
        fleet = FleetView()
        self._retry_after = RetryAfter(random)
        contact = PeerContact(settings.instance_id, settings.address, settings.data_centre)
        incarnation = random.getrandbits(INCARNATION_BITS)
        directory = PeerDirectory(
            contact, settings.seeds, incarnation, random, now_ms, settings.regions
        )
        self._runner = RequestRunner(
            settings, fleet, random, self._retry_after, self._actions, directory
        )
        self.published = PublishedState(fleet, self._runner.chooser, self._actions)
        self._peers = PeerMessageHandler(directory, self._runner, self.published, self._actions)
        self.store_watch = StoreWatch(directory, settings.data_centre, settings.regions)
        self.is_stopping = False
        self._is_cut_off = False

    @property
    def is_ready(self) -> bool:
        """Return what the balancer is told."""
        return not self.is_stopping and self.published.can_serve and not self._is_cut_off

    @property
    def open_requests(self) -> int:
        """Return how many callers and peers wait for an answer."""
        return len(self._runner)

    def live_peers(self, now_ms: float) -> list[str]:
        """Return the instances that were heard lately."""
        return [peer.contact.instance_id for peer in self._peers.directory.live(now_ms)]

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Take over changed settings; open requests go on."""
        self._settings = settings
        self._runner.apply_settings(settings)
        self._peers.directory.set_seeds(settings.seeds)

    def handle(self, event: ForwardingEvent, now_ms: float) -> list[ForwardingAction]:
        """Take in one event and return what follows from it, in order."""
        match event:
            case RequestArrived(request=request):
                self._take_request(request, now_ms)
            case CallerLeft(key=key):
                self._runner.drop(key, now_ms)
            case AttemptEnded(attempt_id=attempt_id, result=result):
                self._runner.finish_attempt(attempt_id, result, now_ms)
            case PublishedUpdates():
                self.published.handle_updates(event, now_ms)
            case StoreLost(detail=detail):
                self.published.record_store_lost(detail, now_ms)
            case PeerHeard(sender_id=sender_id, message=message):
                self._peers.handle(sender_id, message, now_ms, self.is_ready)
            case ReplyWritten(took_ms=took_ms):
                self._runner.own_delay.note_written(took_ms, now_ms)
            case TimePassed():
                pass
        self.published.expire(now_ms)
        self._runner.wake(now_ms)
        self._look_around(now_ms)
        self._peers.wake(now_ms, self.is_ready)
        return self._take_actions()

    def next_wake_ms(self) -> float:
        """Return when ``handle`` wants TimePassed, if nothing happens before."""
        return min(
            self._runner.next_wake_ms(),
            self.published.next_wake_ms(),
            self._peers.next_wake_ms(),
        )

    def stop(self, now_ms: float) -> list[ForwardingAction]:
        """Stop taking new work; what is open goes on."""
        self.is_stopping = True
        self._peers.send_goodbye(now_ms)
        return self._take_actions()

    def end_all(self, now_ms: float) -> list[ForwardingAction]:
        """Answer everything that is open, for the process is about to end."""
        self._runner.end_all(now_ms)
        return self._take_actions()

    def _look_around(self, now_ms: float) -> None:
        """Notice when this instance is cut off from all upstreams, and when that ends."""
        is_cut_off = self._runner.is_isolated(now_ms)
        if is_cut_off != self._is_cut_off:
            self._is_cut_off = is_cut_off
            self._actions.append(LogDecision("cut_off", {"is_cut_off": is_cut_off}, "warning"))

    def _take_request(self, request: ForwardedRequest, now_ms: float) -> None:
        configuration = self.published.configuration
        if configuration is None:
            # A 404 would be believed, and the route may well exist.
            refusal = OwnReply(UNAVAILABLE, "no_configuration", self._retry_after.draw())
            self._refuse(request, refusal)
            return
        route = configuration.routes.find(request.host, request.path)
        if route is None:
            self._refuse(request, OwnReply(NOT_FOUND, "no_route"))
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

    def _take_actions(self) -> list[ForwardingAction]:
        """Return what is to be done; replies to peers become letters."""
        actions = [self._peers.address_reply(action) for action in self._actions]
        self._actions.clear()
        return [action for action in actions if action is not None]
