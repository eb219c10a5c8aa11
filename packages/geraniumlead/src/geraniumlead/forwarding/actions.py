"""Define the output of the forwarder."""

from dataclasses import dataclass

from geraniumlead.fleet import UpstreamRecord
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.replies import Reply
from geraniumlead.peering import DelegatedReply, DelegationAcknowledged
from geraniumlead.peering.outgoing_peer_message import OutgoingPeerMessage


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to an upstream; it has ``time_left_ms`` to answer."""

    attempt_id: int
    upstream: UpstreamRecord
    request: ForwardedRequest
    time_left_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close an attempt's connection; its end is of no interest any more."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class SendReply:
    """Give a caller its answer."""

    key: int
    reply: Reply


@dataclass(frozen=True, slots=True)
class PeerReply:
    """Tell a peer what became of the shards that it asked for."""

    sender_id: str
    message: DelegatedReply | DelegationAcknowledged


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write one line: ``fields`` are the inputs that decided, and the outcome."""

    name: str
    fields: dict
    level: str = "info"


ForwardingAction = (
    StartAttempt | CancelAttempt | SendReply | LogDecision | PeerReply | OutgoingPeerMessage
)
