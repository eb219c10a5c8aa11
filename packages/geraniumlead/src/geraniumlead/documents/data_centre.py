"""Define a data centre with the state that operators set."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]


class DataCentreDocument(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A data centre, its region, and whether operators have taken it out of service."""

    name: Name
    region: Name
    state: Literal["in", "out"] = "in"
