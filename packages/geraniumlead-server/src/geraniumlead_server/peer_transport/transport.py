"""Send and receive peer messages over pyzmq."""

import asyncio
import logging
from collections.abc import Callable

import zmq
import zmq.asyncio

from geraniumlead.actions import SendToPeer
from geraniumlead.events import PeerMessageReceived
from geraniumlead.peers import decode_message, encode_message
from geraniumlead.settings import InstanceSettings

logger = logging.getLogger("geraniumlead")

HIGH_WATER_MESSAGES = 1_000
HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000


class PeerTransport:
    """Bind one ROUTER for what comes in, and keep one DEALER for each peer written to.

    A message that cannot be queued is dropped: every message may be lost, and the decisions
    above rely on none. ZMTP heartbeats end connections that went silent.
    """

    def __init__(
        self, settings: InstanceSettings, report: Callable[[PeerMessageReceived], None]
    ) -> None:
        self._settings = settings
        self._report = report
        self._context = zmq.asyncio.Context()
        self._router = self._context.socket(zmq.ROUTER)
        self._dealers: dict[tuple[str, str], zmq.Socket] = {}
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Bind and receive."""
        self._configure(self._router)
        # A peer that restarts connects under its old name before the old connection is gone.
        self._router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        if self._settings.peer_secret_key:
            self._router.curve_server = True
            self._set_keys(self._router)
        self._router.bind(f"tcp://{self._settings.listen.peers}")
        self._task = asyncio.get_running_loop().create_task(self._receive())

    def send(self, action: SendToPeer) -> None:
        """Queue a message for a peer, or drop it when the peer takes none."""
        dealer = self._dealer_for(action)
        try:
            dealer.send(encode_message(action.message), zmq.NOBLOCK)
        except zmq.Again:
            logger.debug("peer_message_dropped", extra={"fields": {"peer": action.instance_id}})

    def close(self) -> None:
        """Close all sockets without waiting for unsent messages."""
        if self._task is not None:
            self._task.cancel()
        self._context.destroy(linger=200)

    async def _receive(self) -> None:
        while True:
            sender, *frames = await self._router.recv_multipart()
            message = decode_message(frames[-1]) if frames else None
            if message is None:
                logger.warning("peer_message_malformed")
                continue
            self._report(PeerMessageReceived(sender.decode(errors="replace"), message))

    def _dealer_for(self, action: SendToPeer) -> zmq.Socket:
        name = (action.instance_id, action.address)
        dealer = self._dealers.get(name)
        if dealer is None:
            dealer = self._context.socket(zmq.DEALER, socket_class=zmq.Socket)
            self._configure(dealer)
            dealer.setsockopt(zmq.IDENTITY, self._settings.instance_id.encode())
            if self._settings.peer_secret_key:
                self._set_keys(dealer)
                dealer.curve_serverkey = action.public_key.encode()
            dealer.connect(f"tcp://{action.address}")
            self._dealers[name] = dealer
        return dealer

    def _configure(self, socket: zmq.Socket) -> None:
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)

    def _set_keys(self, socket: zmq.Socket) -> None:
        socket.curve_publickey = self._settings.peer_public_key.encode()
        socket.curve_secretkey = self._settings.peer_secret_key.encode()
