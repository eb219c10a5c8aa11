"""Define the messages between instances."""

from geraniumlead.peers.codec import decode_message, encode_message
from geraniumlead.peers.messages import (
    CancelBatch,
    ContractDemand,
    DocumentsUpdate,
    DocumentsWanted,
    Goodbye,
    Heartbeat,
    PeerMessage,
    Probe,
    ProbeReply,
    QuarantineNotice,
    SubqueryBatch,
    SubqueryResult,
    SubqueryResultBatch,
    TicketedAnswer,
    TicketedRequest,
    UpstreamNotice,
)

__all__ = [
    "CancelBatch",
    "ContractDemand",
    "DocumentsUpdate",
    "DocumentsWanted",
    "Goodbye",
    "Heartbeat",
    "PeerMessage",
    "Probe",
    "ProbeReply",
    "QuarantineNotice",
    "SubqueryBatch",
    "SubqueryResult",
    "SubqueryResultBatch",
    "TicketedAnswer",
    "TicketedRequest",
    "UpstreamNotice",
    "decode_message",
    "encode_message",
]
