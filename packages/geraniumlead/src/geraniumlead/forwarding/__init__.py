"""Forward opaque requests to one upstream, or to one upstream of each shard."""

from geraniumlead.forwarding.actions import (
    CancelAttempt,
    ForwardingAction,
    HandleStoreMessage,
    LogDecision,
    RenewConnection,
    SendReply,
    StartAttempt,
)
from geraniumlead.forwarding.deadline import Deadline
from geraniumlead.forwarding.events import (
    AttemptEnded,
    CallerDisconnected,
    ForwardingEvent,
    PeerMessageReceived,
    PublishedUpdates,
    ReplyWritten,
    RequestArrived,
    StoreLost,
    TimePassed,
)
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.forwarder import Forwarder, draw_incarnation
from geraniumlead.forwarding.replies import MergedReply, OwnReply, RelayedReply, Reply
from geraniumlead.forwarding.request_check_error import RequestCheckError
from geraniumlead.forwarding.results import (
    AttemptResult,
    Completed,
    NotExecuted,
    NotReached,
    NotSent,
    PossiblyExecuted,
)
from geraniumlead.forwarding.updates import (
    ConfigurationSeen,
    EvacuationSeen,
    UpstreamSeen,
    UpstreamWithdrawn,
)
from geraniumlead.settings.forwarding_settings import ForwardingSettings

__all__ = [
    "AttemptEnded",
    "AttemptResult",
    "CallerDisconnected",
    "CancelAttempt",
    "Completed",
    "ConfigurationSeen",
    "Deadline",
    "EvacuationSeen",
    "ForwardedRequest",
    "Forwarder",
    "ForwardingAction",
    "ForwardingEvent",
    "ForwardingSettings",
    "HandleStoreMessage",
    "LogDecision",
    "MergedReply",
    "NotExecuted",
    "NotReached",
    "NotSent",
    "OwnReply",
    "PeerMessageReceived",
    "PossiblyExecuted",
    "PublishedUpdates",
    "RelayedReply",
    "RenewConnection",
    "Reply",
    "ReplyWritten",
    "RequestArrived",
    "RequestCheckError",
    "SendReply",
    "StartAttempt",
    "StoreLost",
    "TimePassed",
    "UpstreamSeen",
    "UpstreamWithdrawn",
    "draw_incarnation",
]
