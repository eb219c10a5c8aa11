"""Define one record of an answer as its caller saw it."""

from msgspec import Struct


class RecordSeen(Struct, frozen=True, array_like=True):
    """Name the shard, the index version and the token of the query that the record echoes."""

    shard: int
    index_version: int
    token: str
