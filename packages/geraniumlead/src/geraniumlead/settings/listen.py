from typing import Annotated

from msgspec import Meta, Struct

Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class ListenSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The IP addresses and ports for callers, for operators and for peers."""

    callers: Address
    operators: Address
    peers: Address
