from geraniumlead.requests.reasons import MissingReason
from geraniumlead.upstreams.answers import (
    Cold,
    ConnectionLost,
    Draining,
    NotReached,
    Shed,
    TimedOut,
    UpstreamAnswer,
)


def missing_reason_of(answer: UpstreamAnswer) -> MissingReason:
    """Return the reason reported to the caller for a shard whose last call ended this way."""
    match answer:
        case Shed():
            return MissingReason.SHED
        case Cold():
            return MissingReason.COLD
        case NotReached() | Draining():
            return MissingReason.NO_REPLICA
        case ConnectionLost():
            return MissingReason.CONNECTION_LOST
        case TimedOut():
            return MissingReason.DEADLINE
    return MissingReason.UPSTREAM_ERROR
