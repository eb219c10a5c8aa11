"""Send and receive peer messages over pyzmq."""

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import zmq
import zmq.asyncio

from geraniumlead.peering.outgoing_peer_message import SEED_PREFIX
from geraniumlead.settings import InstanceSettings, PlatformSettings
from geraniumlead_server.peer_transport.dealer_pool import DealerPool
from geraniumlead_server.peer_transport.outgoing_message import OutgoingMessage, PeerCodec

if TYPE_CHECKING:
    from geraniumlead_server.peer_transport.published_keys import PublishedKeys

logger = logging.getLogger("geraniumlead")

HIGH_WATER_MARK_MESSAGES = 1_000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""Longest message of a peer; a connection with a longer one is closed. The whole state of the
platform's store at twelve thousand upstreams takes a quarter of it."""

UNACKNOWLEDGED_TIMEOUT_MS = 3_000
"""Time after which a connection whose data is not acknowledged is replaced. This costs nothing
while the connection is idle; ZeroMQ heartbeats each second on the 460 connections of a large
data centre would cost several times what control messages may cost."""

KEEPALIVE_IDLE_S = 60
"""Idle time after which TCP keepalive probes an accepted connection."""

RECONNECT_INTERVAL_MS = 100
MAX_RECONNECT_INTERVAL_MS = 2_000
MAX_MESSAGES_PER_TURN = 100
"""Messages received in a row before other callbacks of the loop may run."""

ZAP_DOMAIN = "peers"

FRAMES_WITH_ENVELOPE = 3
"""Number of frames of a message with an envelope: the sender's identity, the envelope, the data. An
instance that knows no envelopes reads only the last one."""

IDENTITY_SEPARATOR = "/"
"""Separates the instance's name from a suffix in a connection's identity; names have no slash."""


class PeerTransport:
    """Receives messages on one ROUTER socket and sends them on one DEALER socket per peer.

    A message that cannot be queued is dropped: any message may be lost, and the core does not
    rely on delivery. The kernel closes connections that have gone silent, since data sent on
    them is never acknowledged.

    With keys, the sender of a message is the owner of the key that authenticated its
    connection; the name in the identity is ignored, and unknown keys are refused. Without
    keys, which is for development only, the name in the identity is trusted. ``report`` gets the
    sender, the message and the bytes of its envelope.

    The ROUTER is a plain socket whose file descriptor the loop monitors: the awaitable socket
    costs a future and a poll for each message (docs/measurements/peer-transport.md).
    """

    def __init__(
        self,
        settings: InstanceSettings | PlatformSettings,
        report: Callable[[str, Any, bytes], None],
        keys: "PublishedKeys | None",
        codec: PeerCodec,
    ) -> None:
        self._settings = settings
        self._report = report
        self._keys = keys
        self._codec = codec
        self._context = zmq.asyncio.Context()
        self._router = self._context.socket(zmq.ROUTER, socket_class=zmq.Socket)
        self._dealers = DealerPool(self._open_dealer)
        self._authenticator = None
        self._loop = asyncio.get_running_loop()
        self._receive_handle: asyncio.Handle | None = None
        self._last_message: Any = None
        self._last_bytes = b""

    @property
    def has_keys(self) -> bool:
        """Return whether connections are encrypted and their peers authenticated."""
        return bool(self._settings.peer_secret_key)

    def start(self) -> None:
        """Bind the ROUTER socket and start to receive."""
        self._configure(self._router)
        if self.has_keys:
            self._require_keys()
        else:
            # A peer that restarts may connect with its old identity before the old
            # connection is closed.
            self._router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._router.bind(f"tcp://{self._settings.listen.peers}")
        self._loop.add_reader(self._router.getsockopt(zmq.FD), self._receive)
        self._receive()

    def send(self, outgoing: OutgoingMessage) -> None:
        """Queue a message for a peer, or drop it if the connection accepts none.

        Failure: a peer states an address that is none. The error ended the event, and with it all
        that was still to be sent for it.
        """
        if self.has_keys and not outgoing.public_key:
            logger.warning("peer_without_key", extra={"fields": {"peer": outgoing.instance_id}})
            return
        try:
            dealer = self._dealers.socket_for(outgoing, self._loop.time())
        except zmq.ZMQError as error:
            fields = {"peer": outgoing.instance_id, "reason": str(error)}
            logger.warning("peer_address_unusable", extra={"fields": fields})
            return
        try:
            dealer.send_multipart(self._build_frames(outgoing), zmq.NOBLOCK)
        except zmq.Again:
            self._dealers.record_blocked(outgoing.instance_id, self._loop.time())
            logger.debug("peer_message_dropped", extra={"fields": {"peer": outgoing.instance_id}})

    def renew_after_restart(self, instance_id: str, running_s: float) -> None:
        """Open a new connection to a peer that has just restarted, with the next message to it."""
        self._dealers.renew_after_restart(instance_id, running_s, self._loop.time())

    def _build_frames(self, outgoing: OutgoingMessage) -> list[bytes]:
        envelope = self._codec.encode_envelope(outgoing)
        data = self._encode(outgoing.message)
        return [envelope, data] if envelope else [data]

    def _encode(self, message: Any) -> bytes:
        """Return the encoded message; the last one is cached, since several peers get the same.

        Encoding a large configuration for each of ten peers would take ten milliseconds each.
        """
        if message is not self._last_message:
            self._last_message = message
            self._last_bytes = self._codec.encode(message)
        return self._last_bytes

    def close(self) -> None:
        """Close all sockets after a short time to send queued messages."""
        self._loop.remove_reader(self._router.getsockopt(zmq.FD))
        if self._receive_handle is not None:
            self._receive_handle.cancel()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=200)

    def _require_keys(self) -> None:
        # Imported here: it takes a tenth of the start-up time, and not all deployments have keys.
        from zmq.auth.asyncio import AsyncioAuthenticator

        self._authenticator = AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(ZAP_DOMAIN, self._keys)
        self._router.zap_domain = ZAP_DOMAIN.encode()
        self._router.curve_server = True
        self._set_keys(self._router)

    def _receive(self) -> None:
        # The descriptor is edge-triggered, so all messages must be received before the next
        # wait. Those beyond MAX_MESSAGES_PER_TURN are received in a later callback of the loop,
        # which does not depend on the descriptor.
        self._receive_handle = None
        for _ in range(MAX_MESSAGES_PER_TURN):
            try:
                frames = self._router.recv_multipart(zmq.NOBLOCK, copy=not self.has_keys)
            except zmq.Again:
                return
            self._handle_frames(frames)
        self._receive_handle = self._loop.call_soon(self._receive)

    def _handle_frames(self, frames: list) -> None:
        sender_id = self._find_sender(frames)
        if sender_id is None:
            logger.warning("peer_message_of_unlisted_sender")
            return
        data = _content_of(frames[-1])
        message = self._codec.decode(data) if len(frames) > 1 else None
        if message is None:
            logger.warning("peer_message_malformed", extra={"fields": {"peer": sender_id}})
            return
        envelope = bytes(_content_of(frames[1])) if len(frames) == FRAMES_WITH_ENVELOPE else b""
        self._report(sender_id, message, envelope)

    def _find_sender(self, frames: list) -> str | None:
        if self.has_keys:
            return self._keys.owner_of(frames[-1].get("User-Id"))
        return frames[0].decode(errors="replace").partition(IDENTITY_SEPARATOR)[0]

    def _open_dealer(self, outgoing: OutgoingMessage) -> zmq.Socket:
        dealer = self._context.socket(zmq.DEALER, socket_class=zmq.Socket)
        try:
            self._connect(dealer, outgoing)
        except zmq.ZMQError:
            dealer.close(linger=0)
            raise
        return dealer

    def _connect(self, dealer: zmq.Socket, outgoing: OutgoingMessage) -> None:
        self._configure(dealer)
        if self.has_keys:
            self._set_keys(dealer)
            dealer.curve_serverkey = outgoing.public_key.encode()
        else:
            # Two connections with the same identity would keep taking it over from each other.
            is_named = not outgoing.instance_id.startswith(SEED_PREFIX)
            suffix = "" if is_named else f"{IDENTITY_SEPARATOR}seed"
            dealer.setsockopt(zmq.IDENTITY, f"{self._settings.instance_id}{suffix}".encode())
        dealer.connect(f"tcp://{outgoing.address}")

    def _configure(self, socket: zmq.Socket) -> None:
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_TIMEOUT_MS)
        socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
        socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)

    def _set_keys(self, socket: zmq.Socket) -> None:
        socket.curve_publickey = self._settings.peer_public_key.encode()
        socket.curve_secretkey = self._settings.peer_secret_key.encode()


def _content_of(frame: bytes | zmq.Frame) -> bytes | memoryview:
    return frame if isinstance(frame, bytes) else frame.buffer
