"""Actions that the forwarder returns."""

from dataclasses import dataclass

from geraniumlead.forwarding.deadline import Deadline
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.replies import Reply
from geraniumlead.peering import (
    CrashReports,
    DelegatedReply,
    DelegationAcknowledged,
    ProcessId,
    StateRequest,
    StoreUpdates,
)
from geraniumlead.peering.outgoing_peer_message import OutgoingPeerMessage
from geraniumlead.published_upstreams import UpstreamRecord


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to an upstream, which may work on it until ``deadline``.

    How much time that leaves is computed when the attempt is written, which may be after a wait
    for a connection.
    """

    attempt_id: int
    upstream: UpstreamRecord
    request: ForwardedRequest
    deadline: Deadline


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt whose result is no longer needed."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class SendReply:
    """Send a reply to a caller."""

    key: int
    reply: Reply


@dataclass(frozen=True, slots=True)
class PeerReply:
    """Send the process that delegated a request its acknowledgement, its results, or the crashes
    that it caused."""

    receiver: ProcessId
    message: DelegatedReply | DelegationAcknowledged | CrashReports


@dataclass(frozen=True, slots=True)
class HandleStoreMessage:
    """Pass a peer's message about the platform's store to the part that follows the store."""

    sender: ProcessId
    message: StateRequest | StoreUpdates


@dataclass(frozen=True, slots=True)
class RenewConnection:
    """Replace the connection to a peer if it is older than the peer's process.

    The process has been running for ``running_ms``.
    """

    instance_id: str
    running_ms: float


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write a log line: ``fields`` holds the inputs of a decision and its outcome."""

    name: str
    fields: dict
    level: str = "info"


ForwardingAction = (
    StartAttempt
    | CancelAttempt
    | SendReply
    | LogDecision
    | PeerReply
    | HandleStoreMessage
    | RenewConnection
    | OutgoingPeerMessage
)
