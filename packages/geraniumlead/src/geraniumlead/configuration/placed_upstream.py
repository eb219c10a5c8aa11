from dataclasses import dataclass

from geraniumlead.documents.upstream_entry import UpstreamEntry


@dataclass(slots=True, frozen=True)
class PlacedUpstream:
    """An upstream's entry and the data centre whose list contains it."""

    entry: UpstreamEntry
    data_centre: str
