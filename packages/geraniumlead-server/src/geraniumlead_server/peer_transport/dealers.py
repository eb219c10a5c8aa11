"""Keep the outgoing connections to peers."""

from collections.abc import Callable
from dataclasses import dataclass

import zmq

from geraniumlead_server.peer_transport.letter import Letter

IDLE_S = 60.0
"""A connection that nothing was written to for so long is closed; a peer that left the list
is written to no more, and without this each replaced instance would leave a socket behind."""

REOPEN_S = 2.0
"""Least age of a connection that is given up because it takes no message."""

LOOK_INTERVAL_S = 10.0


@dataclass(slots=True)
class Dealer:
    """Hold a connection and what it was opened for."""

    socket: zmq.Socket
    address: str
    public_key: str
    used_s: float
    opened_s: float


class Dealers:
    """Open a connection for each peer that is written to, and close those without use."""

    __slots__ = ("_dealers", "_looked_s", "_open")

    def __init__(self, open_dealer: Callable[[Letter], zmq.Socket]) -> None:
        self._open = open_dealer
        self._dealers: dict[str, Dealer] = {}
        self._looked_s = float("-inf")

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._dealers)

    def socket_for(self, action: Letter, now_s: float) -> zmq.Socket:
        """Return the connection; a peer with another address or key gets a new one."""
        self._close_idle(now_s)
        dealer = self._dealers.get(action.instance_id)
        if dealer is not None and (dealer.address, dealer.public_key) != (
            action.address,
            action.public_key,
        ):
            dealer.socket.close(linger=0)
            dealer = None
        if dealer is None:
            dealer = Dealer(self._open(action), action.address, action.public_key, now_s, now_s)
            self._dealers[action.instance_id] = dealer
        dealer.used_s = now_s
        return dealer.socket

    def note_blocked(self, instance_id: str, now_s: float) -> None:
        """Note that a connection took no message; one that is not young is given up.

        ZeroMQ never tries again after a peer refused the key, which a peer with an older
        list does to a new instance. The next message opens a new connection.
        """
        dealer = self._dealers.get(instance_id)
        if dealer is not None and now_s - dealer.opened_s >= REOPEN_S:
            dealer.socket.close(linger=0)
            del self._dealers[instance_id]

    def _close_idle(self, now_s: float) -> None:
        if now_s - self._looked_s < LOOK_INTERVAL_S:
            return
        self._looked_s = now_s
        for name, dealer in list(self._dealers.items()):
            if now_s - dealer.used_s > IDLE_S:
                dealer.socket.close(linger=0)
                del self._dealers[name]
