from collections.abc import Callable
from random import Random

from geraniumlead.actions import (
    Action,
    AnswerCaller,
    AnswerTicketRequest,
    CallUpstream,
    CancelCall,
    ReadPlatform,
    SendToPeer,
    StopNow,
)
from geraniumlead.events import (
    DocumentsReceived,
    Event,
    PeerMessageReceived,
    PlatformReadFailed,
    TimerFired,
    UpstreamAnswered,
    UpstreamDisconnected,
)
from geraniumlead.instance import Instance
from geraniumlead.peer_messages import decode_message, encode_message
from geraniumlead.settings import InstanceSettings
from geraniumlead.upstreams import ConnectionLost, NotReached, TimedOut, UpstreamAnswer
from geraniumlead_standins.virtual.event_queue import EventQueue
from geraniumlead_standins.virtual.fake_link import FakeLink
from geraniumlead_standins.virtual.fake_platform import FakePlatform
from geraniumlead_standins.virtual.fake_upstream import AcceptedCall, FakeUpstream
from geraniumlead_standins.virtual.virtual_instance import VirtualInstance

PLATFORM = "platform"
PLATFORM_RETRY_DELAY_MS = 500.0
WATCH_CHECK_INTERVAL_MS = 1_000.0
"""Interval at which a watcher checks whether its watch missed changes, as the client does."""

AnswerObserver = Callable[[str, AnswerCaller | AnswerTicketRequest, float], None]


class VirtualRun:
    """Runs instances, upstreams and a platform in one process and in virtual time.

    It executes the actions of instances on the fakes, and delivers the results as events.
    All randomness comes from ``seed``, so a run gives the same history each time.
    ``on_answer`` is called with the instance's name, the action and the time.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.queue = EventQueue()
        self.link = FakeLink(Random(self.random.random()))
        self.platform = FakePlatform()
        self.upstreams: dict[str, FakeUpstream] = {}
        self.instances: dict[str, VirtualInstance] = {}
        self.on_answer: AnswerObserver = lambda name, action, now_ms: None
        self.on_action: Callable[[str, Action, float], None] = lambda name, action, now_ms: None
        self._connections: dict[tuple[str, str], int] = {}
        self.on_reply: Callable[[str, CallUpstream, UpstreamAnswer], None] = (
            lambda name, action, answer: None
        )
        self._calls: dict[tuple[str, str], tuple[FakeUpstream, AcceptedCall | None]] = {}

    @property
    def now_ms(self) -> float:
        """Return the current virtual time."""
        return self.queue.now_ms

    def add_upstream(self, address: str, upstream_id: str, **changes) -> FakeUpstream:
        """Start an upstream that listens on an address."""
        random = Random(self.random.random())
        upstream = FakeUpstream(upstream_id, self.queue, random, **changes)
        upstream.on_disconnect = lambda: self._disconnect(upstream)
        self.upstreams[address] = upstream
        return upstream

    def start_instance(self, settings: InstanceSettings) -> Instance:
        """Start or restart the process of an instance."""
        name = settings.instance_id
        instance = Instance(settings, Random(self.random.random()), self.now_ms)
        self.instances[name] = VirtualInstance(instance)
        self._execute(name, instance.start(self.now_ms))
        self.deliver(name, TimerFired())
        return instance

    def publish(self, values: dict[str, bytes | None]) -> None:
        """Publish documents; watchers that can reach the platform receive them."""
        before = self.platform.revision
        published = self.platform.publish(values)
        revision = self.platform.revision
        for name, host in list(self.instances.items()):
            if not host.is_watching or self.platform.stale_at_revision is not None:
                continue
            if not self._is_platform_reachable(name):
                # The watch has lost its connection: its client detects the silence and reads again.
                self._read_platform(name, ReadPlatform(watch=True))
            else:
                event = DocumentsReceived(revision, published, False, above_revision=before)
                host.seen_revision = revision
                delay_ms = self.link.draw_delay_ms(PLATFORM, name) or 0.0
                delay_ms += self.platform.delay_ms
                self.queue.add(self.now_ms + delay_ms, lambda n=name, e=event: self.deliver(n, e))

    def restart_watches(self) -> None:
        """Make every watcher read again, as after a restart of the platform."""
        for name, host in list(self.instances.items()):
            if host.is_alive and host.is_watching:
                self._read_platform(name, ReadPlatform(watch=True))

    def kill(self, name: str) -> None:
        """End a process without notice; its calls to upstreams are cancelled."""
        self.instances[name].is_alive = False
        for (caller, call_id), (upstream, running) in list(self._calls.items()):
            if caller == name:
                del self._calls[caller, call_id]
                if running is not None:
                    upstream.cancel(running)

    def freeze(self, name: str) -> None:
        """Suspend a process; events that arrive are kept until it resumes."""
        self.instances[name].is_frozen = True

    def thaw(self, name: str) -> None:
        """Resume a frozen process and deliver the events that arrived meanwhile."""
        host = self.instances[name]
        host.is_frozen = False
        while host.pending_events:
            self.deliver(name, host.pending_events.popleft())
        self.deliver(name, TimerFired())

    def deliver(self, name: str, event: Event) -> None:
        """Deliver an event to an instance now, or keep it while the process is frozen."""
        host = self.instances.get(name)
        if host is None or not host.is_alive:
            return
        if host.is_frozen:
            host.pending_events.append(event)
            return
        self._execute(name, host.instance.handle(event, self.now_ms))
        self._schedule_wakeup(name, host)

    def _schedule_wakeup(self, name: str, host: VirtualInstance) -> None:
        wake_ms = host.instance.next_wake_ms()
        if wake_ms == host.wake_ms:
            return
        host.wake_ms = wake_ms

        def wake() -> None:
            current = self.instances.get(name)
            if current is host and host.wake_ms == wake_ms and not host.is_frozen:
                host.wake_ms = float("inf")
                self.deliver(name, TimerFired())

        self.queue.add(wake_ms, wake)

    def _execute(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            self.on_action(name, action, self.now_ms)
            match action:
                case CallUpstream():
                    self._call_upstream(name, action)
                case CancelCall(call_id=call_id):
                    self._cancel_call(name, call_id)
                case SendToPeer():
                    self._send_to_peer(name, action)
                case AnswerCaller() | AnswerTicketRequest():
                    self.on_answer(name, action, self.now_ms)
                case ReadPlatform():
                    self._read_platform(name, action)
                case StopNow():
                    self.kill(name)

    def _call_upstream(self, name: str, action: CallUpstream) -> None:
        upstream = self.upstreams.get(action.address)
        if upstream is None:
            answered = UpstreamAnswered(action.call_id, NotReached("nothing listens there"))
            self.queue.add(self.now_ms, lambda: self.deliver(name, answered))
            return
        self._calls[name, action.call_id] = (upstream, None)
        connection = (name, upstream.upstream_id)
        restarts = self._connections.setdefault(connection, upstream.restarts)
        self.queue.add(
            self.now_ms + action.timeout_ms, lambda: self._end_call(name, action, TimedOut())
        )
        delay_ms = self.link.draw_delay_ms(name, upstream.upstream_id)
        if delay_ms is not None:
            self.queue.add(
                self.now_ms + delay_ms, lambda: self._deliver_call(name, action, upstream, restarts)
            )

    def _disconnect(self, upstream: FakeUpstream) -> None:
        callers = [name for name, used in self._connections if used == upstream.upstream_id]
        for name in callers:
            delay_ms = self.link.draw_delay_ms(upstream.upstream_id, name)
            if delay_ms is not None:
                self.queue.add(
                    self.now_ms + delay_ms, lambda n=name: self._notify_disconnected(n, upstream)
                )

    def _notify_disconnected(self, name: str, upstream: FakeUpstream) -> None:
        self._connections.pop((name, upstream.upstream_id), None)
        self.deliver(name, UpstreamDisconnected(upstream.upstream_id))

    def _deliver_call(
        self, name: str, action: CallUpstream, upstream: FakeUpstream, restarts: int
    ) -> None:
        if (name, action.call_id) not in self._calls:
            return

        def answer(found: UpstreamAnswer) -> None:
            delay_ms = self.link.draw_delay_ms(upstream.upstream_id, name)
            if delay_ms is not None:
                self.queue.add(self.now_ms + delay_ms, lambda: self._end_call(name, action, found))

        # A call in transit on a connection from before a restart never reaches the upstream.
        if upstream.restarts != restarts:
            self._connections.pop((name, upstream.upstream_id), None)
            answer(ConnectionLost("reset"))
            return
        running = upstream.receive(action.subquery, answer, name)
        if (name, action.call_id) in self._calls:
            self._calls[name, action.call_id] = (upstream, running)

    def _end_call(self, name: str, action: CallUpstream, answer: UpstreamAnswer) -> None:
        call_state = self._calls.pop((name, action.call_id), None)
        if call_state is None:
            return
        upstream, running = call_state
        self.on_reply(name, action, answer)
        if isinstance(answer, TimedOut) and running is not None:
            upstream.cancel(running)
        self.deliver(name, UpstreamAnswered(action.call_id, answer))

    def _cancel_call(self, name: str, call_id: str) -> None:
        upstream, running = self._calls.pop((name, call_id), (None, None))
        if upstream is not None and running is not None:
            upstream.cancel(running)

    def _send_to_peer(self, name: str, action: SendToPeer) -> None:
        delay_ms = self.link.draw_delay_ms(name, action.instance_id)
        if delay_ms is None:
            return
        # Encoded and decoded, so that the receiver sees exactly what another process would.
        message = decode_message(encode_message(action.message))
        event = PeerMessageReceived(name, message)
        self.queue.add(self.now_ms + delay_ms, lambda: self.deliver(action.instance_id, event))

    def _read_platform(self, name: str, action: ReadPlatform) -> None:
        host = self.instances[name]
        host.watch_number += 1
        host.is_watching = False
        if action.stop:
            return
        watch_number = host.watch_number
        self.queue.add(self.now_ms, lambda: self._answer_read(name, host, watch_number, action))

    def _answer_read(
        self, name: str, host: VirtualInstance, watch_number: int, action: ReadPlatform
    ) -> None:
        if host.watch_number != watch_number or not host.is_alive:
            return
        if not self._is_platform_reachable(name):
            self.deliver(name, PlatformReadFailed("no answer"))
            if not action.watch:
                return
            retry_ms = self.now_ms + PLATFORM_RETRY_DELAY_MS
            self.queue.add(retry_ms, lambda: self._answer_read(name, host, watch_number, action))
            return
        revision, documents = self.platform.read()
        host.is_watching = action.watch
        host.seen_revision = revision
        event = DocumentsReceived(revision, documents, True, action.read_number)
        delay_ms = (self.link.draw_delay_ms(PLATFORM, name) or 0.0) + self.platform.delay_ms
        self.queue.add(self.now_ms + delay_ms, lambda: self.deliver(name, event))
        if action.watch:
            check_ms = self.now_ms + WATCH_CHECK_INTERVAL_MS
            self.queue.add(check_ms, lambda: self._check_watch(name, host, watch_number, action))

    def _check_watch(
        self, name: str, host: VirtualInstance, watch_number: int, action: ReadPlatform
    ) -> None:
        if host.watch_number != watch_number or not host.is_alive:
            return
        if not self._is_platform_reachable(name):
            self._answer_read(name, host, watch_number, action)
            return
        revision = self.platform.check()
        if revision != host.seen_revision:
            self._answer_read(name, host, watch_number, action)
            return
        self.deliver(name, DocumentsReceived(revision, (), False, above_revision=revision))
        check_ms = self.now_ms + WATCH_CHECK_INTERVAL_MS
        self.queue.add(check_ms, lambda: self._check_watch(name, host, watch_number, action))

    def _is_platform_reachable(self, name: str) -> bool:
        cut = self.link.cut
        return not (self.platform.is_down or (name, PLATFORM) in cut or (PLATFORM, name) in cut)
