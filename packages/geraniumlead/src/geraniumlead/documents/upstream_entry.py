"""Define an upstream server as the platform publishes it."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class UpstreamEntry(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describe one upstream: where it listens and what it can bear.

    ``slots`` requests run at once, ``connections`` may be open at once for all instances
    together, ``cold_allowance`` requests at once are borne while the upstream is cold.
    """

    upstream_id: Name
    service: Name
    address: Address
    slots: Annotated[int, Meta(ge=1, le=10_000)]
    connections: Annotated[int, Meta(ge=1, le=100_000)]
    cold_allowance: Annotated[int, Meta(ge=1, le=10_000)] = 1
    state: Literal["serving", "leaving"] = "serving"
