"""Define the messages between instances on the users' platform.

All are msgpack arrays, so a field may only be added at the end, with a default.
"""

from zlib import compress, decompressobj
from zlib import error as ZlibError  # noqa: N812

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

LEAST_COMPRESSED_BYTES = 200
"""Size from which on a message is compressed; names and signatures are half of a larger one."""

MOST_BYTES = 4_000_000
"""Largest message: a body of the most that callers may send, and what comes with it."""

ZLIB_START = b"\x78"
"""First byte of zlib's format; no message in msgpack begins with it."""


class PeerContact(Struct, frozen=True, array_like=True):
    """Name an instance and how it is reached."""

    instance_id: str
    address: str
    data_centre: str


class Hello(Struct, frozen=True, array_like=True, tag="hello"):
    """Say that the sender lives, and whom it knows.

    ``sent_ms`` is the sender's clock; ``echo_ms`` repeats the receiver's last one and
    ``held_ms`` tells how long that was kept, so that the receiver learns the time of the way.
    ``known`` names some peers; one that has just started asks for them by ``asks_names``.
    ``count`` is how many instances the sender counts, itself included; ``running_ms`` is how long
    ago it started.
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


class Farewell(Struct, frozen=True, array_like=True, tag="farewell"):
    """Say that the sender is stopping and takes no new work."""

    incarnation: int


class DelegatedRequest(Struct, frozen=True, array_like=True, tag="delegated"):
    """Ask a peer that is nearer to their upstreams to ask some shards.

    ``version`` is the configuration that the sender acts on; the peer declines with an older
    one. Its reply has to leave ``goal_left_ms`` after the message came, with what is in.
    ``sender`` tells a peer that does not know it, for it has just started, where the reply goes.
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


class DelegationTaken(Struct, frozen=True, array_like=True, tag="taken"):
    """Say that a delegated request arrived and is being served."""

    number: int


class DelegatedReply(Struct, frozen=True, array_like=True, tag="delegated_reply"):
    """Carry the shards answered since the last reply, with their signatures, and their records.

    A shard is named by its place in the request. When ``is_declined``, nothing was sent. Unless
    ``is_final``, the peer still waits for the others. The final reply names in ``tried`` the
    upstreams that each unanswered shard was sent to, one entry for each sending.
    """

    number: int
    is_declined: bool = False
    signatures: tuple[tuple[int, str], ...] = ()
    records: bytes = b""
    is_final: bool = True
    tried: tuple[tuple[int, tuple[str, ...]], ...] = ()


class DelegationCancelled(Struct, frozen=True, array_like=True, tag="cancelled"):
    """Say that nobody waits for a delegated request any more."""

    number: int


class DelegationShared(Struct, frozen=True, array_like=True, tag="shared"):
    """Say that the sender now asks the shards itself as well, so the peer sends none again."""

    number: int


class CrashNotice(Struct, frozen=True, array_like=True, tag="crashes"):
    """Say that upstreams were lost while they ran a request that none has answered."""

    fingerprint: int
    upstream_ids: tuple[str, ...]


class RelayedItem(Struct, frozen=True, array_like=True):
    """Be one changed key of the platform's store as it was read; no value means deleted."""

    key: str
    revision: int
    value: bytes | None = None


class StateWanted(Struct, frozen=True, array_like=True, tag="state_wanted"):
    """Ask a peer for all that stands in the platform's store, which turns the sender away.

    ``beyond_revision`` is what the sender knows; None when it knows nothing.
    """

    beyond_revision: int | None = None


class StoreNews(Struct, frozen=True, array_like=True, tag="store_news"):
    """Tell what changed in the platform's store between two of its revisions.

    Heartbeats that change nothing are left out. With ``is_cut`` something is left out that the
    receiver has to read for itself; ``is_after_outage`` says that the store has just come back.
    ``age_ms`` is how long before ``sent_ms``, on the sender's clock, the store was asked.
    With ``is_state`` the items are all that stands there.
    """

    from_revision: int
    to_revision: int
    items: tuple[RelayedItem, ...] = ()
    is_cut: bool = False
    is_after_outage: bool = False
    age_ms: float = 0.0
    sent_ms: float | None = None
    is_state: bool = False


PeeringMessage = (
    Hello
    | Farewell
    | DelegatedRequest
    | DelegationTaken
    | DelegatedReply
    | DelegationCancelled
    | DelegationShared
    | CrashNotice
    | StateWanted
    | StoreNews
)

_ENCODER = Encoder()
_DECODER = Decoder(PeeringMessage)


def encode_peering(message: PeeringMessage) -> bytes:
    """Return the msgpack bytes of a message, compressed where that is worth it."""
    data = _ENCODER.encode(message)
    if len(data) < LEAST_COMPRESSED_BYTES:
        return data
    return min(data, compress(data), key=len)


def decode_peering(data: bytes | memoryview) -> PeeringMessage | None:
    """Return the message in ``data``, or None when it is malformed or of an unknown kind."""
    try:
        return _DECODER.decode(_expand(data))
    except (DecodeError, ValidationError, ZlibError):
        return None


def _expand(data: bytes | memoryview) -> bytes | memoryview:
    """Return the msgpack bytes; raises zlib.error for what is damaged or too large."""
    if data[:1] != ZLIB_START:
        return data
    expander = decompressobj()
    found = expander.decompress(data, MOST_BYTES)
    if not expander.eof:
        raise ZlibError("cut off, or larger than any message")
    return found
