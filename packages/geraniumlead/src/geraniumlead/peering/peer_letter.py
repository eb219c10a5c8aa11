"""Define a message on its way to a peer."""

from dataclasses import dataclass

from geraniumlead.peering.messages import PeeringMessage


@dataclass(frozen=True, slots=True)
class PeerLetter:
    """Send a message to an instance; it may be lost, and is never repeated below."""

    instance_id: str
    address: str
    message: PeeringMessage
    public_key: str = ""
