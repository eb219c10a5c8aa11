"""Discovery of, and messages to, the other instances where no service lists them."""

from geraniumlead.peering.directory import PeerDirectory
from geraniumlead.peering.envelope import (
    NO_ENVELOPE,
    Envelope,
    decode_envelope,
    encode_envelope,
)
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
from geraniumlead.peering.process_id import UNKNOWN_INCARNATION, ProcessId
from geraniumlead.peering.process_match import ProcessMatch, is_kept
from geraniumlead.peering.store_read_state import StoreReadState
from geraniumlead.peering.store_read_timing import UPDATE_TIMEOUT_JITTER, StoreReadTiming
from geraniumlead.peering.store_return import ReturnCause, StoreReturn
from geraniumlead.peering.store_watch import StoreWatch

__all__ = [
    "NO_ENVELOPE",
    "UNKNOWN_INCARNATION",
    "UPDATE_TIMEOUT_JITTER",
    "CrashReport",
    "CrashReports",
    "DelegatedReply",
    "DelegatedRequest",
    "DelegationAcknowledged",
    "DelegationCancelled",
    "DelegationHedged",
    "Envelope",
    "Goodbye",
    "Hello",
    "KnownPeer",
    "LostProcess",
    "PeerContact",
    "PeerDirectory",
    "PeeringMessage",
    "ProcessId",
    "ProcessMatch",
    "ReturnCause",
    "StateRequest",
    "StoreItem",
    "StoreReadState",
    "StoreReadTiming",
    "StoreReturn",
    "StoreUpdates",
    "StoreWatch",
    "decode_envelope",
    "decode_peering",
    "encode_envelope",
    "encode_peering",
    "is_kept",
]
