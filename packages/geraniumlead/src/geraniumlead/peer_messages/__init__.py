"""Messages between the instances of a published list, and their codec."""

from geraniumlead.peer_messages.codec import decode_message, encode_message
from geraniumlead.peer_messages.messages import (
    ANY_NONCE,
    CancelBatch,
    ContractDemand,
    DocumentsRequest,
    DocumentsUpdate,
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
    "ANY_NONCE",
    "CancelBatch",
    "ContractDemand",
    "DocumentsRequest",
    "DocumentsUpdate",
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
