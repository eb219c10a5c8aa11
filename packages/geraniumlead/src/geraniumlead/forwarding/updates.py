"""The updates that may be read from the platform's store."""

from dataclasses import dataclass

from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead.routes import PublishedConfiguration


@dataclass(frozen=True, slots=True)
class ConfigurationSeen:
    """A version of the configuration is in the store."""

    configuration: PublishedConfiguration


@dataclass(frozen=True, slots=True)
class UpstreamSeen:
    """An upstream has published its record."""

    record: UpstreamRecord


@dataclass(frozen=True, slots=True)
class UpstreamWithdrawn:
    """An upstream's entry is gone, or does not describe a usable upstream."""

    upstream_id: str


@dataclass(frozen=True, slots=True)
class EvacuationSeen:
    """Operators took a data centre's upstreams out of service, or put them back."""

    data_centre: str
    is_evacuated: bool


PublishedUpdate = ConfigurationSeen | UpstreamSeen | UpstreamWithdrawn | EvacuationSeen
