"""Send and receive peer messages over pyzmq."""

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import zmq
import zmq.asyncio

from geraniumlead.peering.outgoing_peer_message import SEED_PREFIX
from geraniumlead.settings import InstanceSettings, PlatformSettings
from geraniumlead_server.peer_transport.dealers import Dealers
from geraniumlead_server.peer_transport.letter import Letter, PeerCodec

if TYPE_CHECKING:
    from geraniumlead_server.peer_transport.published_keys import PublishedKeys

logger = logging.getLogger("geraniumlead")

HIGH_WATER_MESSAGES = 1_000
UNACKNOWLEDGED_MS = 3_000
"""Time after which a connection whose data nobody acknowledges is replaced. It costs nothing
while the connection is idle; heartbeats of ZeroMQ each second on the 460 connections of a
large data centre would take several times what control may cost."""

KEEPALIVE_IDLE_S = 60
"""An accepted connection that was silent for so long is asked whether it lives."""

RECONNECT_MS = 100
LONGEST_RECONNECT_MS = 2_000
MOST_AT_ONCE = 100
"""Messages taken in before other work of the loop has its turn."""

ZAP_DOMAIN = "peers"

NAME_SEPARATOR = "/"
"""Ends the instance's name in the identity of a connection; names hold no slash."""


class PeerTransport:
    """Bind one ROUTER for what comes in, and keep one DEALER for each peer written to.

    A message that cannot be queued is dropped: every message may be lost, and the decisions
    above rely on none. The kernel ends
    connections that went silent: what was written to them is never acknowledged.

    With keys, the sender of a message is the owner of the key that its connection proved;
    the name that it gives itself counts for nothing, and unknown keys are refused. Without
    keys, which is for development only, the sender is who it says.

    The ROUTER is a plain socket whose file descriptor the loop watches: the awaitable socket
    costs a future and a poll for each message (docs/measurements/peer-transport.md).
    """

    def __init__(
        self,
        settings: InstanceSettings | PlatformSettings,
        report: Callable[[str, Any], None],
        keys: "PublishedKeys | None",
        codec: PeerCodec,
    ) -> None:
        self._settings = settings
        self._report = report
        self._keys = keys
        self._codec = codec
        self._context = zmq.asyncio.Context()
        self._router = self._context.socket(zmq.ROUTER, socket_class=zmq.Socket)
        self._dealers = Dealers(self._open_dealer)
        self._authenticator = None
        self._loop = asyncio.get_running_loop()
        self._receiving: asyncio.Handle | None = None
        self._last_message: Any = None
        self._last_bytes = b""

    @property
    def has_keys(self) -> bool:
        """Return whether connections are encrypted and their peers proven."""
        return bool(self._settings.peer_secret_key)

    def start(self) -> None:
        """Bind and receive."""
        self._configure(self._router)
        if self.has_keys:
            self._require_keys()
        else:
            # A peer that restarts connects under its old name before the old connection
            # is gone.
            self._router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._router.bind(f"tcp://{self._settings.listen.peers}")
        self._loop.add_reader(self._router.getsockopt(zmq.FD), self._receive)
        self._receive()

    def send(self, action: Letter) -> None:
        """Queue a message for a peer, or drop it when the peer takes none."""
        if self.has_keys and not action.public_key:
            logger.warning("peer_without_key", extra={"fields": {"peer": action.instance_id}})
            return
        dealer = self._dealers.socket_for(action, self._loop.time())
        try:
            dealer.send(self._encode(action.message), zmq.NOBLOCK)
        except zmq.Again:
            self._dealers.note_blocked(action.instance_id, self._loop.time())
            logger.debug("peer_message_dropped", extra={"fields": {"peer": action.instance_id}})

    def _encode(self, message: Any) -> bytes:
        """Return a message's bytes, made once for all who get the same message in a row.

        A large configuration that goes to ten peers would take ten milliseconds for each.
        """
        if message is not self._last_message:
            self._last_message = message
            self._last_bytes = self._codec.encode(message)
        return self._last_bytes

    def close(self) -> None:
        """Close all sockets; unsent messages get a moment to leave."""
        self._loop.remove_reader(self._router.getsockopt(zmq.FD))
        if self._receiving is not None:
            self._receiving.cancel()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=200)

    def _require_keys(self) -> None:
        # Loaded only here: it takes a tenth of a start, and not all deployments have keys.
        from zmq.auth.asyncio import AsyncioAuthenticator

        self._authenticator = AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(ZAP_DOMAIN, self._keys)
        self._router.zap_domain = ZAP_DOMAIN.encode()
        self._router.curve_server = True
        self._set_keys(self._router)

    def _receive(self) -> None:
        # The descriptor only tells of changes, so everything must be taken before the next
        # wait; a rest that is left for the others' turn is taken without being told.
        self._receiving = None
        for _ in range(MOST_AT_ONCE):
            try:
                frames = self._router.recv_multipart(zmq.NOBLOCK, copy=not self.has_keys)
            except zmq.Again:
                return
            self._take(frames)
        self._receiving = self._loop.call_soon(self._receive)

    def _take(self, frames: list) -> None:
        sender_id = self._find_sender(frames)
        if sender_id is None:
            logger.warning("peer_message_of_unlisted_sender")
            return
        data = frames[-1] if isinstance(frames[-1], bytes) else frames[-1].buffer
        message = self._codec.decode(data) if len(frames) > 1 else None
        if message is None:
            logger.warning("peer_message_malformed", extra={"fields": {"peer": sender_id}})
            return
        self._report(sender_id, message)

    def _find_sender(self, frames: list) -> str | None:
        if self.has_keys:
            return self._keys.owner_of(frames[-1].get("User-Id"))
        return frames[0].decode(errors="replace").partition(NAME_SEPARATOR)[0]

    def _open_dealer(self, action: Letter) -> zmq.Socket:
        dealer = self._context.socket(zmq.DEALER, socket_class=zmq.Socket)
        self._configure(dealer)
        if self.has_keys:
            self._set_keys(dealer)
            dealer.curve_serverkey = action.public_key.encode()
        else:
            # Two connections under one name would take it from each other again and again.
            is_named = not action.instance_id.startswith(SEED_PREFIX)
            suffix = "" if is_named else f"{NAME_SEPARATOR}seed"
            dealer.setsockopt(zmq.IDENTITY, f"{self._settings.instance_id}{suffix}".encode())
        dealer.connect(f"tcp://{action.address}")
        return dealer

    def _configure(self, socket: zmq.Socket) -> None:
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, LONGEST_RECONNECT_MS)
        socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MS)
        socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
        socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)

    def _set_keys(self, socket: zmq.Socket) -> None:
        socket.curve_publickey = self._settings.peer_public_key.encode()
        socket.curve_secretkey = self._settings.peer_secret_key.encode()
