"""Find the other instances where nobody lists them, and talk to them."""

from geraniumlead.peering.directory import PeerDirectory
from geraniumlead.peering.known_peer import KnownPeer
from geraniumlead.peering.messages import (
    CrashNotice,
    DelegatedReply,
    DelegatedRequest,
    DelegationCancelled,
    DelegationShared,
    DelegationTaken,
    Farewell,
    Hello,
    PeerContact,
    PeeringMessage,
    RelayedItem,
    StateWanted,
    StoreNews,
    decode_peering,
    encode_peering,
)
from geraniumlead.peering.reading_pace import PATIENCE_SPREAD, ReadingPace
from geraniumlead.peering.store_contact import StoreContact
from geraniumlead.peering.store_watch import StoreWatch

__all__ = [
    "PATIENCE_SPREAD",
    "CrashNotice",
    "DelegatedReply",
    "DelegatedRequest",
    "DelegationCancelled",
    "DelegationShared",
    "DelegationTaken",
    "Farewell",
    "Hello",
    "KnownPeer",
    "PeerContact",
    "PeerDirectory",
    "PeeringMessage",
    "ReadingPace",
    "RelayedItem",
    "StateWanted",
    "StoreContact",
    "StoreNews",
    "StoreWatch",
    "decode_peering",
    "encode_peering",
]
