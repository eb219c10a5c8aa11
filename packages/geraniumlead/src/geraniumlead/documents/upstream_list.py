from typing import Annotated

from msgspec import Meta, Struct

from geraniumlead.documents.upstream_entry import UpstreamEntry

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]


class UpstreamListDocument(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The upstreams of one data centre."""

    data_centre: Name
    upstreams: list[UpstreamEntry]
