"""Define an upstream server as the platform publishes it."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class UpstreamEntry(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One upstream: the address on which it listens, and its capacity.

    It runs ``slots`` requests at the same time. All instances together may open ``connections``
    connections to it. While it is cold, it can run ``cold_allowance`` requests at the same time.
    """

    upstream_id: Name
    service: Name
    address: Address
    slots: Annotated[int, Meta(ge=1, le=10_000)]
    connections: Annotated[int, Meta(ge=1, le=100_000)]
    cold_allowance: Annotated[int, Meta(ge=1, le=10_000)] = 1
    state: Literal["serving", "leaving"] = "serving"
