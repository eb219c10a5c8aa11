"""The kinds of targets that a route sends its requests to."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OneService:
    """A target that sends each request to one upstream of one service."""

    service: str


@dataclass(frozen=True, slots=True)
class SplitServices:
    """A target that sends each request to one of several services, in proportion to weights."""

    weights: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class FanOut:
    """A target that sends each request to one upstream of every shard and merges the records.

    ``record_count`` is the number of records in an answer, ``min_share`` the share of the shards
    (0 to 1) below which there is no answer.
    """

    shards: tuple[str, ...]
    record_count: int
    min_share: float


RouteTarget = OneService | SplitServices | FanOut
