"""Define an instance as the platform publishes it."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class InstanceEntry(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An instance, the address at which its peers reach it, and whether it is leaving.

    ``peer_public_key`` is its CURVE public key in Z85 encoding; empty if peers run without keys.
    """

    instance_id: Name
    peer_address: Address
    peer_public_key: str = ""
    state: Literal["live", "leaving"] = "live"
