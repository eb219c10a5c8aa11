"""Define the tagged outcomes of one call to an upstream.

Each says whether the upstream may have run the call: ``Shed``, ``Cold``, ``Draining``,
``WrongVersion`` and ``NotReached`` mean that it surely did not.
"""

from msgspec import Struct


class Records(Struct, frozen=True, array_like=True, tag=1):
    """Carry the JSON array text of the records of one shard of one index version.

    ``cold`` is set while the upstream says that it is still cold.
    """

    index_version: int
    shard: int
    records: bytes
    cold: bool = False


class Shed(Struct, frozen=True, array_like=True, tag=2):
    """The upstream refused the call for load; it did not run."""

    retry_after_ms: float


class Cold(Struct, frozen=True, array_like=True, tag=3):
    """The upstream is in cold start and refused the call; it did not run."""


class Draining(Struct, frozen=True, array_like=True, tag=4):
    """The upstream is leaving and refused the call; it did not run."""


class WrongVersion(Struct, frozen=True, array_like=True, tag=5):
    """The upstream does not hold the shard of this index version; it did not run."""

    held_versions: tuple[int, ...]


class NotReached(Struct, frozen=True, array_like=True, tag=6):
    """No byte of the call left for the upstream; it did not run."""

    detail: str


class ConnectionLost(Struct, frozen=True, array_like=True, tag=7):
    """The connection ended after the call may have been sent; it may have run."""

    detail: str


class TimedOut(Struct, frozen=True, array_like=True, tag=8):
    """No answer came in time; the call may have run.

    ``silent_connection`` is set when other connections to the upstream answered meanwhile.
    """

    silent_connection: bool = False


class UpstreamError(Struct, frozen=True, array_like=True, tag=9):
    """The upstream answered with an error of its own; it may have run the call."""

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

SURELY_NOT_RUN: tuple[type, ...] = (Shed, Cold, Draining, WrongVersion, NotReached)
