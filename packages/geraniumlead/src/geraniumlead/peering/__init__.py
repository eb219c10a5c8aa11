"""Find the other instances where nobody lists them, and talk to them."""

from geraniumlead.peering.directory import PeerDirectory
from geraniumlead.peering.known_peer import KnownPeer
from geraniumlead.peering.messages import (
    CrashNotice,
    DelegatedReply,
    DelegatedRequest,
    DelegationCancelled,
    DelegationTaken,
    Farewell,
    Hello,
    PeerContact,
    PeeringMessage,
    decode_peering,
    encode_peering,
)

__all__ = [
    "CrashNotice",
    "DelegatedReply",
    "DelegatedRequest",
    "DelegationCancelled",
    "DelegationTaken",
    "Farewell",
    "Hello",
    "KnownPeer",
    "PeerContact",
    "PeerDirectory",
    "PeeringMessage",
    "decode_peering",
    "encode_peering",
]
