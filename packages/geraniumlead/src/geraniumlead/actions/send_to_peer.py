"""Define a message to a peer."""

from dataclasses import dataclass

from geraniumlead.peers.messages import PeerMessage


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a message to an instance; it may be lost, and is never repeated below."""

    instance_id: str
    address: str
    message: PeerMessage
    public_key: str = ""
