"""Define the typed messages between instances; one union, told apart by a tag.

All are msgpack arrays, so a field may only be added at the end, with a default: an older
instance ignores it and a newer one fills it in.
"""

from msgspec import Struct

from geraniumlead.documents.versioned import VersionedValue
from geraniumlead.upstreams.answers import UpstreamAnswer
from geraniumlead.upstreams.subquery import Subquery


class ContractDemand(Struct, frozen=True, array_like=True):
    """Report what one instance saw of one contract in the last reporting interval.

    ``lent_share`` is the part of the contract that the sender lends to the receiver.
    """

    customer: str
    offered_per_s: float
    admitted_per_s: float
    running_requests: int
    lent_share: float = 0.0


class Heartbeat(Struct, frozen=True, array_like=True, tag="heartbeat"):
    """Say that the sender lives, and which configuration it acts on.

    ``platform_age_ms`` is the age of the platform's news that ``revision`` stands for, and
    ``digest`` is over its contents. A ``stopping`` sender takes no new work.
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


class Goodbye(Struct, frozen=True, array_like=True, tag="goodbye"):
    """Say that the sender is stopping and takes no new work."""

    incarnation: str


class DocumentsWanted(Struct, frozen=True, array_like=True, tag="documents_wanted"):
    """Ask for all documents with a revision above ``above_revision``."""

    above_revision: int


class DocumentsUpdate(Struct, frozen=True, array_like=True, tag="documents_update"):
    """Carry every change above ``above_revision`` up to ``revision``."""

    revision: int
    documents: tuple[VersionedValue, ...]
    above_revision: int


ANY_NONCE = 0
"""The nonce of a probe whose answer only has to show that the peer lives."""


class Probe(Struct, frozen=True, array_like=True, tag="probe"):
    """Ask a peer to answer at once; ``nonce`` ties the answer to this question.

    A peer that is behind ``revision`` asks the sender for the documents.
    """

    nonce: int
    revision: int = 0


class ProbeReply(Struct, frozen=True, array_like=True, tag="probe_reply"):
    """Answer a probe; ``is_fresh`` is unset while the sender's own view is unconfirmed."""

    nonce: int
    revision: int
    is_fresh: bool


class SubqueryBatch(Struct, frozen=True, array_like=True, tag="subqueries"):
    """Carry the subqueries for one owner that one batching tick collected."""

    subqueries: tuple[Subquery, ...]


class SubqueryResult(Struct, frozen=True, array_like=True):
    """Carry the outcome of one subquery back to its coordinator."""

    call_id: str
    answer: UpstreamAnswer


class SubqueryResultBatch(Struct, frozen=True, array_like=True, tag="results"):
    """Carry the outcomes for one coordinator that one batching tick collected."""

    results: tuple[SubqueryResult, ...]


class CancelBatch(Struct, frozen=True, array_like=True, tag="cancels"):
    """Ask an owner to cancel calls whose answers are no longer wanted."""

    call_ids: tuple[str, ...]


class UpstreamNotice(Struct, frozen=True, array_like=True, tag="upstream_notice"):
    """Tell other owners of an upstream what was seen of it."""

    upstream_id: str
    state: str
    since_ms_ago: float


class QuarantineNotice(Struct, frozen=True, array_like=True, tag="quarantine"):
    """Tell peers of a fingerprint whose connections an upstream lost.

    ``remaining_ms`` above 0 says that it is quarantined; else ``upstream_id`` names the
    upstream of one strike.
    """

    fingerprint: int
    strikes: int
    remaining_ms: float
    upstream_id: str = ""


class TicketedRequest(Struct, frozen=True, array_like=True, tag="ticketed_request"):
    """Forward a non-idempotent request to the instance that issued its ticket."""

    call_id: str
    request_id: str
    customer: str
    class_name: str
    query: bytes
    key: str | None
    ticket: str
    remaining_ms: float


class TicketedAnswer(Struct, frozen=True, array_like=True, tag="ticketed_answer"):
    """Carry the outcome of a forwarded request, encoded by ``encode_outcome``."""

    call_id: str
    outcome: bytes


PeerMessage = (
    Heartbeat
    | Goodbye
    | DocumentsWanted
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
