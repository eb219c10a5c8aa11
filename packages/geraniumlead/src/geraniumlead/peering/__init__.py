"""Discovery of, and messages to, the other instances where no service lists them."""

from geraniumlead.peering.directory import PeerDirectory
from geraniumlead.peering.known_peer import KnownPeer
from geraniumlead.peering.messages import (
    CrashReport,
    CrashReports,
    DelegatedReply,
    DelegatedRequest,
    DelegationAcknowledged,
    DelegationCancelled,
    DelegationHedged,
    Goodbye,
    Hello,
    LostProcess,
    PeerContact,
    PeeringMessage,
    StateRequest,
    StoreItem,
    StoreUpdates,
    decode_peering,
    encode_peering,
)
from geraniumlead.peering.store_read_state import StoreReadState
from geraniumlead.peering.store_read_timing import UPDATE_TIMEOUT_JITTER, StoreReadTiming
from geraniumlead.peering.store_watch import StoreWatch

__all__ = [
    "UPDATE_TIMEOUT_JITTER",
    "CrashReport",
    "CrashReports",
    "DelegatedReply",
    "DelegatedRequest",
    "DelegationAcknowledged",
    "DelegationCancelled",
    "DelegationHedged",
    "Goodbye",
    "Hello",
    "KnownPeer",
    "LostProcess",
    "PeerContact",
    "PeerDirectory",
    "PeeringMessage",
    "StateRequest",
    "StoreItem",
    "StoreReadState",
    "StoreReadTiming",
    "StoreUpdates",
    "StoreWatch",
    "decode_peering",
    "encode_peering",
]
