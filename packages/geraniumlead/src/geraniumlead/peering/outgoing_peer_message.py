from dataclasses import dataclass

from geraniumlead.peering.messages import PeeringMessage
from geraniumlead.peering.process_id import UNKNOWN_INCARNATION

SEED_PREFIX = "seed "
"""Prefix of the name of a receiver of which only the address is known yet."""


@dataclass(frozen=True, slots=True)
class OutgoingPeerMessage:
    """A message to a peer together with its address and the process that it is for.

    It may be lost, and the transport does not send it again.
    """

    instance_id: str
    address: str
    message: PeeringMessage
    public_key: str = ""
    receiver_incarnation: int = UNKNOWN_INCARNATION
