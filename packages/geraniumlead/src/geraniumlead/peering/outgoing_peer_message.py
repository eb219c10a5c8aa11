from dataclasses import dataclass

from geraniumlead.peering.messages import PeeringMessage

SEED_PREFIX = "seed "
"""Prefix of the name of a receiver of which only the address is known yet."""


@dataclass(frozen=True, slots=True)
class OutgoingPeerMessage:
    """A message to a peer together with its address.

    It may be lost, and the transport does not send it again.
    """

    instance_id: str
    address: str
    message: PeeringMessage
    public_key: str = ""
