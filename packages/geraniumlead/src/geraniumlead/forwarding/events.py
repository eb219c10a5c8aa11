"""Define the input of the forwarder."""

from dataclasses import dataclass

from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.results import AttemptResult
from geraniumlead.forwarding.updates import PublishedUpdate
from geraniumlead.peering import PeeringMessage


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a whole request."""

    request: ForwardedRequest


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """A caller closed its connection before it had its answer."""

    key: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at an upstream ended."""

    attempt_id: int
    result: AttemptResult


@dataclass(frozen=True, slots=True)
class PublishedUpdates:
    """The store was read: ``is_snapshot`` when everything that stands there is in ``news``.

    ``is_after_outage`` when another instance read it that had lost it shortly before; ``source``
    names that instance. ``age_ms`` is how long ago the store gave the answer, at the most.
    """

    updates: tuple[PublishedUpdate, ...]
    is_snapshot: bool
    is_after_outage: bool = False
    age_ms: float = 0.0
    source: str = "store"


@dataclass(frozen=True, slots=True)
class StoreLost:
    """The store did not answer for a while."""

    detail: str


@dataclass(frozen=True, slots=True)
class PeerHeard:
    """A message came from another instance."""

    sender_id: str
    message: PeeringMessage


@dataclass(frozen=True, slots=True)
class ReplyWritten:
    """A reply was written to its caller's connection, so long after it was decided."""

    took_ms: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """A time came that ``next_wake_ms`` had named."""


ForwardingEvent = (
    RequestArrived
    | CallerLeft
    | AttemptEnded
    | PublishedUpdates
    | StoreLost
    | PeerHeard
    | ReplyWritten
    | TimePassed
)
