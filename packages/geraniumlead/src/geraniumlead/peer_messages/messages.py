"""Messages between instances: one union whose members differ by their tag.

All are msgpack arrays, so a field may only be added at the end, with a default: an older
instance ignores it and a newer one fills it in.
"""

from msgspec import Struct

from geraniumlead.documents.versioned import VersionedValue
from geraniumlead.upstreams.answers import UpstreamAnswer
from geraniumlead.upstreams.subquery import Subquery


class ContractDemand(Struct, frozen=True, array_like=True):
    """The demand of one contract at one instance in the last reporting interval.

    ``lent_share`` is the part of the contract that the sender lends to the receiver.
    """

    customer: str
    offered_per_s: float
    admitted_per_s: float
    running_requests: int
    lent_share: float = 0.0


class Heartbeat(Struct, frozen=True, array_like=True, tag="heartbeat"):
    """A liveness message, with the configuration that the sender uses.

    ``platform_age_ms`` is how long ago the platform confirmed ``revision`` as current, and
    ``digest`` is a digest of the documents at that revision. A ``stopping`` sender takes no new
    work. ``sent_ms`` is the sender's clock. ``quarantine_digest`` is the same for two instances
    with the same quarantines.
    """

    incarnation: str
    data_centre: str
    sequence: int
    revision: int
    ready: bool
    demand: tuple[ContractDemand, ...] = ()
    platform_age_ms: float | None = None
    digest: int = 0
    stopping: bool = False
    sent_ms: float | None = None
    quarantine_digest: int = 0


class Goodbye(Struct, frozen=True, array_like=True, tag="goodbye"):
    """A notice that the sender is stopping and takes no new work."""

    incarnation: str


class DocumentsRequest(Struct, frozen=True, array_like=True, tag="documents_wanted"):
    """A request for all documents with a revision above ``above_revision``."""

    above_revision: int


class DocumentsUpdate(Struct, frozen=True, array_like=True, tag="documents_update"):
    """All changes above ``above_revision`` up to ``revision``."""

    revision: int
    documents: tuple[VersionedValue, ...]
    above_revision: int


ANY_NONCE = 0
"""The nonce of a probe whose answer only has to show that the peer is alive."""


class Probe(Struct, frozen=True, array_like=True, tag="probe"):
    """A request to reply at once; ``nonce`` matches the reply to the probe.

    A peer whose revision is below ``revision`` asks the sender for the documents.
    """

    nonce: int
    revision: int = 0


class ProbeReply(Struct, frozen=True, array_like=True, tag="probe_reply"):
    """A reply to a probe; ``is_fresh`` is unset while the sender's own view is unconfirmed."""

    nonce: int
    revision: int
    is_fresh: bool


class SubqueryBatch(Struct, frozen=True, array_like=True, tag="subqueries"):
    """The subqueries for one owner that were collected in one batching tick.

    ``left_ms`` is when it left on the receiver's clock; None while the sender doesn't know that.
    """

    subqueries: tuple[Subquery, ...]
    left_ms: float | None = None


class SubqueryResult(Struct, frozen=True, array_like=True):
    """The outcome of one subquery, sent back to its coordinator."""

    call_id: str
    answer: UpstreamAnswer


class SubqueryResultBatch(Struct, frozen=True, array_like=True, tag="results"):
    """The outcomes for one coordinator that were collected in one batching tick.

    ``sent_ms`` is the sender's clock.
    """

    results: tuple[SubqueryResult, ...]
    sent_ms: float | None = None


class CancelBatch(Struct, frozen=True, array_like=True, tag="cancels"):
    """A request to an owner to cancel calls whose answers are no longer needed."""

    call_ids: tuple[str, ...]


class UpstreamNotice(Struct, frozen=True, array_like=True, tag="upstream_notice"):
    """An observation of an upstream, sent to its other owners."""

    upstream_id: str
    state: str
    since_ms_ago: float


class QuarantineNotice(Struct, frozen=True, array_like=True, tag="quarantine"):
    """A notice of a fingerprint of requests on which an upstream lost its connections.

    With ``remaining_ms`` above 0 the fingerprint is quarantined; otherwise ``upstream_id`` names
    the upstream of one strike.
    """

    fingerprint: int
    strikes: int
    remaining_ms: float
    upstream_id: str = ""


class TicketedRequest(Struct, frozen=True, array_like=True, tag="ticketed_request"):
    """A non-idempotent request, forwarded to the instance that issued its ticket.

    ``left_ms`` is when it left on the receiver's clock; None while the sender doesn't know that.
    """

    call_id: str
    request_id: str
    customer: str
    class_name: str
    query: bytes
    key: str | None
    ticket: str
    remaining_ms: float
    left_ms: float | None = None


class TicketedAnswer(Struct, frozen=True, array_like=True, tag="ticketed_answer"):
    """The outcome of a forwarded request, encoded by ``encode_outcome``."""

    call_id: str
    outcome: bytes


PeerMessage = (
    Heartbeat
    | Goodbye
    | DocumentsRequest
    | DocumentsUpdate
    | SubqueryBatch
    | SubqueryResultBatch
    | CancelBatch
    | UpstreamNotice
    | QuarantineNotice
    | TicketedRequest
    | TicketedAnswer
    | Probe
    | ProbeReply
)
