"""Manage the outgoing connections to peers."""

from collections.abc import Callable
from dataclasses import dataclass

import zmq

from geraniumlead_server.peer_transport.outgoing_message import OutgoingMessage

IDLE_TIMEOUT_S = 60.0
"""Time after its last message when a connection is closed. Nothing is sent to a peer that
left the list, so without this limit each replaced instance would leave a socket behind."""

MIN_REOPEN_AGE_S = 2.0
"""Minimum age of a connection that is closed because it accepts no message."""

RESTART_WINDOW_S = 4.0
"""Time after a peer's start in which a connection to its previous process may still be waiting."""

IDLE_CHECK_INTERVAL_S = 10.0


@dataclass(slots=True)
class Dealer:
    """A connection with the address and the key of the peer that it was opened for."""

    socket: zmq.Socket
    address: str
    public_key: str
    last_used_s: float
    opened_s: float


class DealerPool:
    """Opens a connection for each peer that messages are sent to, and closes idle ones."""

    __slots__ = ("_checked_s", "_dealers", "_open_dealer")

    def __init__(self, open_dealer: Callable[[OutgoingMessage], zmq.Socket]) -> None:
        self._open_dealer = open_dealer
        self._dealers: dict[str, Dealer] = {}
        self._checked_s = float("-inf")

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._dealers)

    def socket_for(self, outgoing: OutgoingMessage, now_s: float) -> zmq.Socket:
        """Return the connection to a peer; a changed address or key opens a new one."""
        self._close_idle(now_s)
        dealer = self._dealers.get(outgoing.instance_id)
        if dealer is not None and (dealer.address, dealer.public_key) != (
            outgoing.address,
            outgoing.public_key,
        ):
            dealer.socket.close(linger=0)
            dealer = None
        if dealer is None:
            dealer = Dealer(
                self._open_dealer(outgoing), outgoing.address, outgoing.public_key, now_s, now_s
            )
            self._dealers[outgoing.instance_id] = dealer
        dealer.last_used_s = now_s
        return dealer.socket

    def record_blocked(self, instance_id: str, now_s: float) -> None:
        """Record that a connection accepted no message, and close it unless it is new.

        ZeroMQ does not reconnect after a peer has refused the key, and a peer with an older
        list refuses a new instance. The next message opens a new connection.
        """
        dealer = self._dealers.get(instance_id)
        if dealer is not None and now_s - dealer.opened_s >= MIN_REOPEN_AGE_S:
            dealer.socket.close(linger=0)
            del self._dealers[instance_id]

    def renew_after_restart(self, instance_id: str, running_s: float, now_s: float) -> None:
        """Close a connection to the previous process of a peer that has been running so long.

        Failure: a peer was down for some seconds, and ZeroMQ tries to connect again only after two
        more. It has just started and waits for the replies to its first messages.
        """
        dealer = self._dealers.get(instance_id)
        is_restart = running_s < RESTART_WINDOW_S
        if is_restart and dealer is not None and dealer.opened_s < now_s - running_s:
            dealer.socket.close(linger=0)
            del self._dealers[instance_id]

    def _close_idle(self, now_s: float) -> None:
        if now_s - self._checked_s < IDLE_CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        for name, dealer in list(self._dealers.items()):
            if now_s - dealer.last_used_s > IDLE_TIMEOUT_S:
                dealer.socket.close(linger=0)
                del self._dealers[name]
