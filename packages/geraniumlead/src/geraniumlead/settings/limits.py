from typing import Annotated

from msgspec import Meta, Struct


class LimitSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The limits of one instance on request bodies, open and queued requests, and fan-out."""

    body_bytes: Annotated[int, Meta(ge=1024, le=16_777_216)] = 65_536
    open_requests: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
    queued_requests: Annotated[int, Meta(ge=0, le=1_000_000)] = 2_000
    fan_out_shards: Annotated[int, Meta(ge=1, le=100_000)] = 4_096
