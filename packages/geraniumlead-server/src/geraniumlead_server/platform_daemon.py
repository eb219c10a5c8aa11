"""Assemble one instance on the users' platform and run it on one loop."""

import asyncio
import gc
import logging
import signal
import socket
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random, SystemRandom

from geraniumlead.caller_load import CallerLimits
from geraniumlead.forwarding import (
    CancelAttempt,
    Forwarder,
    ForwardingAction,
    HandleStoreMessage,
    PeerMessageReceived,
    RenewConnection,
    StartAttempt,
    draw_incarnation,
)
from geraniumlead.peering import (
    Envelope,
    PeeringMessage,
    ProcessId,
    StateRequest,
    StoreUpdates,
    decode_envelope,
    decode_peering,
    encode_envelope,
    encode_peering,
)
from geraniumlead.peering.outgoing_peer_message import OutgoingPeerMessage
from geraniumlead.settings import PlatformSettings
from geraniumlead_server.answer_memory import AnswerMemory
from geraniumlead_server.forwarding_client import AttemptClient
from geraniumlead_server.forwarding_driver import ForwardingDriver
from geraniumlead_server.forwarding_front import (
    ForwardingApp,
    ReadinessApp,
    judge_head,
    protocol_with_limits,
)
from geraniumlead_server.forwarding_telemetry import DecisionLog, load_metrics_libraries
from geraniumlead_server.peer_transport import PeerCodec, PeerTransport
from geraniumlead_server.platform import StoreClient
from geraniumlead_server.platform_main import load_platform_settings
from geraniumlead_server.store_callbacks import StoreCallbacks
from geraniumlead_server.store_follower import StoreFollower
from geraniumlead_server.time_of_day import measure_way_ms, stamp_message
from geraniumlead_server.web_server import WebServer

OTHER_LIMITS = CallerLimits(connections=50, held_bytes=1024 * 1024)
"""Of the balancer's connections, and of those that read metrics."""

STOP_NOTICE_SHARE = 0.4
"""Share of the shutdown time in which new requests are still accepted. The balancer checks
readiness once a second and stops sending callers after the second refusal; replies on open
connections meanwhile ask callers to close them."""

LAST_REPLY_SHARE = 0.84
"""Share of the shutdown time after which open requests get their final reply."""

CONNECTION_CLOSE_SHARE = 0.9
"""Share of the shutdown time after which callers' connections are no longer waited for; the rest
is for the exit of the process."""

MAX_FIRST_VIEW_WAIT_S = 0.4
"""Longest wait for the store's first answer before requests are read, and refused if necessary;
the store answers in some milliseconds, and callers disconnect after a second."""

FIRST_VIEW_CHECK_INTERVAL_S = 0.01

SETTINGS_CHECK_INTERVAL_S = 1.0

METRICS_DELAY_S = 8.0
"""Longer than the callers' queues take to clear after a power failure."""

logger = logging.getLogger("geraniumlead")


class PlatformDaemon:
    """Runs one instance until it is asked to stop and its requests have ended."""

    def __init__(self, settings: PlatformSettings, path: Path, listener: socket.socket) -> None:
        self._settings = settings
        self._path = path
        self._listener = listener
        seed = settings.seed if settings.seed is not None else SystemRandom().getrandbits(64)
        self._random = Random(seed)
        self._stopping = asyncio.Event()
        self._settings_text = b""
        self._follower: StoreFollower | None = None

    async def run(self) -> None:
        """Serve, and return after a graceful stop."""
        self._loop = asyncio.get_running_loop()
        # Not drawn from the seed: a process that restarts with it has to differ from the earlier.
        self._incarnation = draw_incarnation(SystemRandom())
        forwarder = Forwarder(
            self._settings.to_forwarding_settings(),
            self._random,
            self._loop.time() * 1000.0,
            self._incarnation,
        )
        self._driver = ForwardingDriver(forwarder, self._carry_out)
        bounds = self._settings.bounds
        memory = AnswerMemory(bounds.answer_bytes, bounds.open_answer_bytes)
        self._attempts = AttemptClient(self._driver.handle, memory)
        self._store = StoreClient(self._settings.store)
        self._peers = PeerTransport(
            self._settings,
            self._handle_message,
            None,
            PeerCodec(encode_peering, decode_peering, self._encode_envelope),
        )
        self._peers.start()
        servers = self._build_servers()
        self._guard = servers[0].guard
        self._loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        background = [
            self._loop.create_task(self._follow_store()),
            self._loop.create_task(self._poll_settings()),
            self._loop.create_task(self._serve_metrics()),
        ]
        ready_task = servers[1].start()
        await self._wait_for_first_view()
        tasks = [servers[0].start([self._listener]), ready_task]
        gc.freeze()
        gc.enable()
        fields = {"seeds": len(self._settings.seeds), "incarnation": self._incarnation}
        logger.info("started", extra={"fields": fields})
        await self._stopping.wait()
        await self._stop(servers, tasks)
        for task in background:
            task.cancel()
        self._peers.close()
        await self._attempts.close()
        await self._store.close()
        logger.info("stopped")

    async def _wait_for_first_view(self) -> None:
        """Wait until routes and upstreams are known; callers stay in the socket's backlog.

        If they were read at once, all requests that arrived while the program was loading would
        be refused some milliseconds before the store's first answer.
        """
        until_s = self._loop.time() + MAX_FIRST_VIEW_WAIT_S
        while not self._driver.forwarder.is_ready and self._loop.time() < until_s:
            await asyncio.sleep(FIRST_VIEW_CHECK_INTERVAL_S)

    def _build_servers(self) -> list[WebServer]:
        log = DecisionLog(self._driver.now_ms())
        self._driver.observers.append(lambda decision: log.observe(decision, self._driver.now_ms()))
        listen = self._settings.listen
        front = ForwardingApp(self._driver)
        protocol = protocol_with_limits(
            lambda: self._driver.limits, partial(judge_head, self._driver.forwarder)
        )
        ready = ReadinessApp(self._driver)
        limits = self._settings.bounds.to_caller_limits()
        return [
            WebServer.from_address(front, listen.callers, limits, protocol),
            WebServer.from_address(ready, listen.ready, OTHER_LIMITS),
        ]

    async def _serve_metrics(self) -> None:
        """Serve the metrics page, some time after the start.

        Loading the metrics library takes a quarter of the start-up time. After a power failure
        callers wait for the first instance that listens, and metrics are not read in its first
        seconds.
        """
        await asyncio.sleep(METRICS_DELAY_S)
        await load_metrics_libraries()
        from geraniumlead_server.forwarding_telemetry.metrics import ForwardingMetrics
        from geraniumlead_server.forwarding_telemetry.page import MetricsPage

        page = MetricsPage()
        metrics = ForwardingMetrics(
            self._driver.forwarder,
            page.reader,
            self._driver.now_ms,
            lambda: self._driver.failed_events,
            self._guard,
        )
        self._driver.observers.append(metrics.observe)
        address = self._settings.listen.metrics
        server = WebServer.from_address(page, address, OTHER_LIMITS)
        await server.serve()

    async def _follow_store(self) -> None:
        bounds = self._settings.bounds
        bound_ms = min(bounds.drain_ms, bounds.configuration_ms, bounds.evacuation_ms)
        forwarder = self._driver.forwarder
        callbacks = StoreCallbacks(
            is_watcher=lambda: forwarder.store_watch.is_watcher(self._driver.now_ms()),
            has_readers=lambda: bool(forwarder.store_watch.update_receivers(self._driver.now_ms())),
            relay=self._relay_store_updates,
            request_state=self._request_state,
            lacks_upstreams=lambda: forwarder.published.lacks_upstreams,
        )
        self._follower = StoreFollower(
            self._store, bound_ms, self._driver.handle, self._random, callbacks
        )
        await self._follower.run()

    def _relay_store_updates(self, updates: StoreUpdates) -> None:
        for peer in self._driver.forwarder.store_watch.update_receivers(self._driver.now_ms()):
            self._peers.send(peer.address_message(updates))

    def _request_state(self, beyond_revision: int | None) -> None:
        store_watch = self._driver.forwarder.store_watch
        peer = store_watch.choose_state_source(self._driver.now_ms(), self._random)
        if peer is None:
            return
        logger.info("state_wanted", extra={"fields": {"peer": peer.contact.instance_id}})
        self._peers.send(peer.address_message(StateRequest(beyond_revision)))

    def _send_state(self, receiver: ProcessId, beyond_revision: int | None) -> None:
        peer = self._driver.forwarder.store_watch.peer(receiver.instance_id)
        updates = (
            None if self._follower is None else self._follower.build_state_reply(beyond_revision)
        )
        if peer is not None and updates is not None:
            self._peers.send(peer.address_message(updates, receiver.incarnation))

    def _encode_envelope(self, outgoing: OutgoingPeerMessage) -> bytes:
        return encode_envelope(Envelope(self._incarnation, outgoing.receiver_incarnation))

    def _handle_message(self, sender_id: str, message: PeeringMessage, data: bytes) -> None:
        envelope = decode_envelope(data)
        if envelope is None:
            logger.warning("peer_message_malformed", extra={"fields": {"peer": sender_id}})
            return
        way_ms = measure_way_ms(message)
        self._driver.handle(PeerMessageReceived(sender_id, message, way_ms, envelope))

    def _handle_store_message(
        self, sender: ProcessId, message: StateRequest | StoreUpdates
    ) -> None:
        match message:
            case StoreUpdates():
                self._handle_relayed(sender.instance_id, message)
            case StateRequest(beyond_revision=beyond_revision):
                self._send_state(sender, beyond_revision)

    def _handle_relayed(self, sender_id: str, updates: StoreUpdates) -> None:
        if self._follower is None:
            return
        store_watch = self._driver.forwarder.store_watch
        delay_ms = store_watch.relay_delay_ms(sender_id, updates.sent_ms, self._driver.now_ms())
        self._follower.handle_relayed(updates, sender_id, delay_ms)

    async def _stop(self, servers: list[WebServer], tasks: list[asyncio.Task]) -> None:
        """Report not ready, accept new requests for a while, and end all open requests."""
        forwarder = self._driver.forwarder
        logger.info("stopping", extra={"fields": {"open_requests": forwarder.open_requests}})
        self._driver.carry_out_all(forwarder.stop(self._driver.now_ms()))
        began_s = self._loop.time()
        stop_s = self._settings.bounds.stop_s
        await asyncio.sleep(STOP_NOTICE_SHARE * stop_s)
        servers[0].should_exit = True
        while forwarder.open_requests and self._loop.time() - began_s < LAST_REPLY_SHARE * stop_s:
            await asyncio.sleep(0.05)
        self._driver.carry_out_all(forwarder.end_all(self._driver.now_ms()))
        for server in servers:
            server.should_exit = True
        await asyncio.wait(
            tasks, timeout=max(0.1, CONNECTION_CLOSE_SHARE * stop_s - (self._loop.time() - began_s))
        )

    async def _poll_settings(self) -> None:
        """Reload the settings file when it changes without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            self._reload()

    def _reload(self) -> None:
        try:
            text = self._path.read_bytes()
        except OSError as error:
            logger.warning("settings_unreadable", extra={"fields": {"detail": str(error)}})
            return
        if text == self._settings_text:
            return
        is_first, self._settings_text = not self._settings_text, text
        settings = load_platform_settings(self._path)
        if isinstance(settings, str):
            logger.warning("settings_refused", extra={"fields": {"detail": settings}})
            return
        if is_first and settings == self._settings:
            return
        self._settings = settings
        self._guard.account.apply_limits(settings.bounds.to_caller_limits())
        self._driver.forwarder.apply_settings(
            settings.to_forwarding_settings(), self._driver.now_ms()
        )
        logger.info("settings_reloaded")

    def _carry_out(self, action: ForwardingAction) -> None:
        match action:
            case StartAttempt():
                self._attempts.start(action)
            case CancelAttempt(attempt_id=attempt_id):
                self._attempts.cancel(attempt_id)
            case HandleStoreMessage(sender=sender, message=message):
                self._handle_store_message(sender, message)
            case RenewConnection(instance_id=instance_id, running_ms=running_ms):
                self._peers.renew_after_restart(instance_id, running_ms / 1000.0)
            case OutgoingPeerMessage(message=message):
                self._peers.send(replace(action, message=stamp_message(message)))
