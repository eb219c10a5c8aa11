from typing import Annotated

from msgspec import Meta, Struct

from geraniumlead.documents.instance_entry import InstanceEntry

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]


class InstanceListDocument(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The instances of one data centre; the list that the platform publishes may be out of date."""

    data_centre: Name
    instances: list[InstanceEntry]
