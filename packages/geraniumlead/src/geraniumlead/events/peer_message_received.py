from dataclasses import dataclass

from geraniumlead.peers.messages import PeerMessage


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A peer, identified by its authenticated name, sent a message."""

    sender_id: str
    message: PeerMessage
