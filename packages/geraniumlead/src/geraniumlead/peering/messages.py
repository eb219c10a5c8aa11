"""Messages between instances that discover each other, and their codec.

All are msgpack arrays, so a field may only be added at the end, with a default.
"""

from zlib import compress, decompressobj
from zlib import error as ZlibError  # noqa: N812

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

MIN_COMPRESSED_BYTES = 200
"""Smallest size that is compressed; names and signatures make up half of a larger message."""

MAX_MESSAGE_BYTES = 4_000_000
"""Largest message after decompression: the largest request body of a caller, and its metadata."""

ZLIB_FIRST_BYTE = b"\x78"
"""First byte of the zlib format; no message in msgpack begins with it."""


class PeerContact(Struct, frozen=True, array_like=True):
    """The name, address and data centre of an instance."""

    instance_id: str
    address: str
    data_centre: str


class Hello(Struct, frozen=True, array_like=True, tag="hello"):
    """A heartbeat, which also carries contacts of other instances.

    ``sent_ms`` is the sender's clock. ``echo_ms`` repeats the receiver's last ``sent_ms``, and
    ``held_ms`` is how long ago that arrived, so that the receiver can compute the one-way delay.
    ``known`` holds contacts of some peers; a sender that has just started asks for them by
    ``asks_names``. ``count`` is how many instances the sender counts, itself included.
    ``running_ms`` is how long ago it started. ``crash_digest`` is the same for two instances that
    refuse the same requests because they crash upstreams.
    """

    contact: PeerContact
    incarnation: int
    version: int
    is_ready: bool
    sent_ms: float
    echo_ms: float | None = None
    held_ms: float = 0.0
    known: tuple[PeerContact, ...] = ()
    asks_names: bool = False
    count: int = 1
    running_ms: float = 0.0
    crash_digest: int = 0


class Goodbye(Struct, frozen=True, array_like=True, tag="farewell"):
    """A notice that the sender is stopping and takes no new work."""

    incarnation: int


class DelegatedRequest(Struct, frozen=True, array_like=True, tag="delegated"):
    """A request to query some shards, sent to a peer that is nearer to their upstreams.

    ``version`` is the configuration that the sender uses; a peer with an older one declines.
    The peer has to send its reply ``goal_left_ms`` after the message came, with the answers that
    it has by then. ``sender`` is where the reply goes, for a peer that has just started and does
    not know the sender. ``end_ms`` is when the request ends, on the receiver's clock;
    None while the sender doesn't know that clock, and then ``sent_unix_ms`` is its time of day.
    ``shared_upstreams`` names for each shard the upstream that the sender may query itself; the
    peer may query it too, and besides it one less than the route allows. An older version names
    none.
    """

    number: int
    version: int
    route: str
    shards: tuple[str, ...]
    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    time_left_ms: float
    goal_left_ms: float
    sender: PeerContact | None = None
    end_ms: float | None = None
    sent_unix_ms: float | None = None
    shared_upstreams: tuple[str, ...] = ()


class DelegationAcknowledged(Struct, frozen=True, array_like=True, tag="taken"):
    """An acknowledgement that a delegated request arrived and is being served.

    ``sent_ms`` is the sender's clock.
    """

    number: int
    sent_ms: float | None = None


class DelegatedReply(Struct, frozen=True, array_like=True, tag="delegated_reply"):
    """The signatures and records of the shards that answered since the last reply.

    A shard is identified by its index in the request. With ``is_declined``, nothing was sent to
    any upstream. Unless ``is_final``, the peer still waits for the other shards. The final reply
    lists in ``tried`` the upstreams that each unanswered shard was sent to, one entry for each
    attempt. ``sent_ms`` is the sender's clock, in a reply that declines.
    """

    number: int
    is_declined: bool = False
    signatures: tuple[tuple[int, str], ...] = ()
    records: bytes = b""
    is_final: bool = True
    tried: tuple[tuple[int, tuple[str, ...]], ...] = ()
    sent_ms: float | None = None


class DelegationCancelled(Struct, frozen=True, array_like=True, tag="cancelled"):
    """A notice that the sender no longer needs the reply to a delegated request."""

    number: int


class DelegationHedged(Struct, frozen=True, array_like=True, tag="shared"):
    """A notice that the sender now queries the shards itself, too.

    The peer makes no second attempts for them.
    """

    number: int


class LostProcess(Struct, frozen=True, array_like=True):
    """A process of an upstream that was lost under a request.

    ``process`` is a hash of the upstream's id and start. The ages are how long ago the request was
    sent to it and it was lost. It ``is_silent`` if it never answered and its entry lapsed.
    """

    process: int
    sent_age_ms: int
    lost_age_ms: int
    is_silent: bool = False


class CrashReport(Struct, frozen=True, array_like=True):
    """What an instance knows of a request under which upstreams were lost.

    A request that is
    refused has ``quarantined_age_ms``; ``probed_age_ms`` is how long ago it was sent in spite of
    that, and ``failed_probes`` how often that crashed an upstream.
    ``answered_age_ms`` is how long ago an upstream answered it; what was lost before tells nothing.
    """

    fingerprint: int
    crashes: tuple[LostProcess, ...] = ()
    quarantined_age_ms: int | None = None
    probed_age_ms: int | None = None
    failed_probes: int = 0
    answered_age_ms: int | None = None


class CrashReports(Struct, frozen=True, array_like=True, tag="crash_reports"):
    """What an instance knows of some requests; ``sent_ms`` is its clock.

    All ages are those at that time.
    """

    sent_ms: float
    reports: tuple[CrashReport, ...]


class StoreItem(Struct, frozen=True, array_like=True):
    """One changed key of the platform's store as it was read; no value means deleted."""

    key: str
    revision: int
    value: bytes | None = None


class StateRequest(Struct, frozen=True, array_like=True, tag="state_wanted"):
    """A request for the whole state of the platform's store, which rejects the sender's calls.

    ``beyond_revision`` is the revision that the sender has; None when it has none.
    """

    beyond_revision: int | None = None


class StoreUpdates(Struct, frozen=True, array_like=True, tag="store_news"):
    """The changes in the platform's store between two of its revisions.

    Heartbeats that change nothing are left out. With ``is_cut`` the items are incomplete, and the
    receiver has to read the rest itself. ``age_ms`` is how long before ``sent_ms``, on the sender's
    clock, the store was read, and ``returned_age_ms`` how long before it the store came back from
    an outage; None if it has not just come back. ``is_after_outage`` tells the same to an older
    version. With ``is_state`` the items are the whole state of the store.
    """

    from_revision: int
    to_revision: int
    items: tuple[StoreItem, ...] = ()
    is_cut: bool = False
    is_after_outage: bool = False
    age_ms: float = 0.0
    sent_ms: float | None = None
    is_state: bool = False
    returned_age_ms: float | None = None


PeeringMessage = (
    Hello
    | Goodbye
    | DelegatedRequest
    | DelegationAcknowledged
    | DelegatedReply
    | DelegationCancelled
    | DelegationHedged
    | CrashReports
    | StateRequest
    | StoreUpdates
)

_ENCODER = Encoder()
_DECODER = Decoder(PeeringMessage)


def encode_peering(message: PeeringMessage) -> bytes:
    """Return the msgpack bytes of a message, compressed where that makes them smaller."""
    data = _ENCODER.encode(message)
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return min(data, compress(data), key=len)


def decode_peering(data: bytes | memoryview) -> PeeringMessage | None:
    """Return the message in ``data``, or None when it is malformed or of an unknown kind."""
    try:
        return _DECODER.decode(_decompress(data))
    except (DecodeError, ValidationError, ZlibError):
        return None


def _decompress(data: bytes | memoryview) -> bytes | memoryview:
    """Return the msgpack bytes.

    Raise ``zlib.error`` if the compressed data is damaged or its content is too large.
    """
    if data[:1] != ZLIB_FIRST_BYTE:
        return data
    decompressor = decompressobj()
    content = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ZlibError("truncated, or larger than the largest message")
    return content
