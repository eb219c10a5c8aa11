from dataclasses import dataclass

from geraniumlead.peer_messages.messages import PeerMessage


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """A peer, identified by its authenticated name, sent a message."""

    sender_id: str
    message: PeerMessage
