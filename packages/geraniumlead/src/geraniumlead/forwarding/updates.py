"""Define what may be learnt from the platform's store."""

from dataclasses import dataclass

from geraniumlead.fleet import UpstreamRecord
from geraniumlead.routes import PublishedConfiguration


@dataclass(frozen=True, slots=True)
class ConfigurationSeen:
    """A version of the configuration stands in the store."""

    configuration: PublishedConfiguration


@dataclass(frozen=True, slots=True)
class UpstreamSeen:
    """An upstream published itself."""

    record: UpstreamRecord


@dataclass(frozen=True, slots=True)
class UpstreamWithdrawn:
    """An upstream's entry is gone, or names none that can be used."""

    upstream_id: str


@dataclass(frozen=True, slots=True)
class EvacuationSeen:
    """Operators ask that a data centre's upstreams get nothing, or take that back."""

    data_centre: str
    is_evacuated: bool


PublishedUpdate = ConfigurationSeen | UpstreamSeen | UpstreamWithdrawn | EvacuationSeen
