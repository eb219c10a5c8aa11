from typing import Annotated, Literal

from msgspec import Meta, Struct

from geraniumlead.documents.shard import ShardEntry

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]


class IndexDocument(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The upstreams that hold each shard of one index version of one service.

    Shards are numbered from 0 without gaps: the shard of a key is its hash modulo the number of
    shards.
    """

    service: Name
    version: Annotated[int, Meta(ge=1)]
    shards: Annotated[list[ShardEntry], Meta(min_length=1)]
    state: Literal["serving", "retired"] = "serving"
