from msgspec import Struct


class RecordSeen(Struct, frozen=True, array_like=True):
    """One record of an answer as its caller saw it; ``token`` echoes the query's token."""

    shard: int
    index_version: int
    token: str
