from dataclasses import dataclass

from geraniumlead.peer_messages.messages import PeerMessage


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a message to an instance; it may be lost, and the transport never resends it."""

    instance_id: str
    address: str
    message: PeerMessage
    public_key: str = ""
