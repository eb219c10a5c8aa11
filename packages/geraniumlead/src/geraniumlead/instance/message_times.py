"""Tell a peer when a message left, and how long a message of a peer waited on its way."""

from msgspec.structs import replace

from geraniumlead.membership import Peer
from geraniumlead.peer_messages import (
    PeerMessage,
    SubqueryBatch,
    SubqueryResultBatch,
    TicketedRequest,
)

NORMAL_WAY_MS = 50.0
"""Longest time between instances that is not counted as a wait: 20 ms to the farthest data centre
and back, by which clocks are compared, and a busy event loop."""


def stamp_message(message: PeerMessage, peer: Peer | None, now_ms: float) -> PeerMessage:
    """Return a message with what its receiver needs to compare the clocks, or to know its age."""
    match message:
        case SubqueryBatch() | TicketedRequest() if peer is not None:
            return replace(message, left_ms=peer.clock_offset.to_other_clock_ms(now_ms))
        case SubqueryResultBatch():
            return replace(message, sent_ms=now_ms)
    return message


def find_wait_ms(message: SubqueryBatch | TicketedRequest, now_ms: float) -> float:
    """Return how much longer than usual a message was on its way; 0 if its sender can't tell.

    Failure: the network between two data centres is cut for a second. Subqueries that come after it
    were counted from then on, and upstreams worked for callers who had long left.
    """
    if message.left_ms is None:
        return 0.0
    return max(0.0, now_ms - message.left_ms - NORMAL_WAY_MS)
