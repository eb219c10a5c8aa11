"""Define where the requests of a route go."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OneService:
    """Send each request to one upstream of one service."""

    service: str


@dataclass(frozen=True, slots=True)
class SplitServices:
    """Send each request to one of several services, in proportion to their weights."""

    weights: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class FanOut:
    """Send each request to one upstream of every shard and merge the records.

    ``record_count`` is the number of records in an answer, ``least_share`` the share of the
    shards (0 to 1) below which there is no answer.
    """

    shards: tuple[str, ...]
    record_count: int
    least_share: float


RouteTarget = OneService | SplitServices | FanOut
