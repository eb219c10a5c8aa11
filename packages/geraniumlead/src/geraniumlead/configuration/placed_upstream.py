"""Define an upstream together with its data centre."""

from dataclasses import dataclass

from geraniumlead.documents.upstream_entry import UpstreamEntry


@dataclass(slots=True, frozen=True)
class PlacedUpstream:
    """Tie an upstream's entry to the data centre whose list names it."""

    entry: UpstreamEntry
    data_centre: str
