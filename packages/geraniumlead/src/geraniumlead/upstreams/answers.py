"""Define the tagged outcomes of a call to an upstream.

Each outcome says whether the upstream may have executed the call. ``Shed``, ``Cold``,
``Draining``, ``WrongVersion`` and ``NotReached`` mean that it did not.
"""

from msgspec import Struct


class Records(Struct, frozen=True, array_like=True, tag=1):
    """The records of one shard of one index version, as the text of a JSON array.

    ``cold`` is set if the upstream reports that it is still cold.
    """

    index_version: int
    shard: int
    records: bytes
    cold: bool = False


class Shed(Struct, frozen=True, array_like=True, tag=2):
    """The upstream refused the call because of its load and did not execute it."""

    retry_after_ms: float


class Cold(Struct, frozen=True, array_like=True, tag=3):
    """The upstream is cold; it refused the call and did not execute it."""


class Draining(Struct, frozen=True, array_like=True, tag=4):
    """The upstream is leaving; it refused the call and did not execute it."""


class WrongVersion(Struct, frozen=True, array_like=True, tag=5):
    """The upstream does not hold the shard of this index version; the call was not executed."""

    held_versions: tuple[int, ...]


class NotReached(Struct, frozen=True, array_like=True, tag=6):
    """No byte of the call was sent to the upstream; the call was not executed."""

    detail: str


class ConnectionLost(Struct, frozen=True, array_like=True, tag=7):
    """The connection ended after the call may have been sent; it may have been executed."""

    detail: str


class TimedOut(Struct, frozen=True, array_like=True, tag=8):
    """No answer arrived in time; the call may have been executed.

    ``silent_connection`` is set if other connections to the upstream answered in the meantime.
    """

    silent_connection: bool = False


class UpstreamError(Struct, frozen=True, array_like=True, tag=9):
    """The upstream answered with an error of its own; it may have executed the call."""

    status: int


UpstreamAnswer = (
    Records
    | Shed
    | Cold
    | Draining
    | WrongVersion
    | NotReached
    | ConnectionLost
    | TimedOut
    | UpstreamError
)
AnswerKind = type[UpstreamAnswer]

NOT_EXECUTED: tuple[type, ...] = (Shed, Cold, Draining, WrongVersion, NotReached)
