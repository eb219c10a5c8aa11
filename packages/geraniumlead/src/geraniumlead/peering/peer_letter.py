"""Define a message on its way to a peer."""

from dataclasses import dataclass

from geraniumlead.peering.messages import PeeringMessage

SEED_PREFIX = "seed "
"""Begins the name of a receiver of whom only the address is known yet."""


@dataclass(frozen=True, slots=True)
class PeerLetter:
    """Send a message to an instance; it may be lost, and is never repeated below."""

    instance_id: str
    address: str
    message: PeeringMessage
    public_key: str = ""
