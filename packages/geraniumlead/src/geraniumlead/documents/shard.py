from typing import Annotated

from msgspec import Meta, Struct


class ShardEntry(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The upstreams of all data centres that hold one shard."""

    shard: Annotated[int, Meta(ge=0, le=1_000_000)]
    replicas: Annotated[list[str], Meta(min_length=1)]
