"""Events that the forwarder handles."""

from dataclasses import dataclass

from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.results import AttemptResult
from geraniumlead.forwarding.updates import PublishedUpdate
from geraniumlead.peering import NO_ENVELOPE, Envelope, PeeringMessage, StoreReturn


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A complete request of a caller was received."""

    request: ForwardedRequest


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """A caller closed its connection before it received a reply."""

    key: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at an upstream ended."""

    attempt_id: int
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class PublishedUpdates:
    """Updates that were read from the platform's store.

    ``is_snapshot`` is set if ``updates`` holds all entries of the store. ``source`` names the
    instance that read them. ``age_ms`` is the maximum time since the store answered.
    ``returned_age_ms`` is how long ago the store came back from an outage, in which entries of live
    upstreams may have lapsed; None if there was none lately. ``store_return`` is what this read
    looked like the end of.
    """

    updates: tuple[PublishedUpdate, ...]
    is_snapshot: bool
    age_ms: float = 0.0
    source: str = "store"
    returned_age_ms: float | None = None
    store_return: StoreReturn | None = None


@dataclass(frozen=True, slots=True)
class StoreLost:
    """The platform's store has not answered for some time."""

    detail: str


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message of another instance was received.

    ``way_ms`` is how long ago it left by the time of day, where the message tells; the times of
    day of two machines may differ. ``envelope`` names the processes that it is from and for.
    """

    sender_id: str
    message: PeeringMessage
    way_ms: float | None = None
    envelope: Envelope = NO_ENVELOPE


@dataclass(frozen=True, slots=True)
class ReplyWritten:
    """A reply was written to its caller's connection ``took_ms`` after it was decided."""

    took_ms: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """The time that ``next_wake_ms`` returned has come."""


ForwardingEvent = (
    RequestArrived
    | CallerDisconnected
    | AttemptEnded
    | PublishedUpdates
    | StoreLost
    | PeerMessageReceived
    | ReplyWritten
    | TimePassed
)
