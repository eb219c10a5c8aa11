"""Define one version of the operators' configuration."""

from dataclasses import dataclass, field

from geraniumlead.routes.request_limits import RequestLimits
from geraniumlead.routes.route_table import RouteTable
from geraniumlead.routes.service import UpstreamService


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """Hold everything that one version says; versions only ever grow."""

    version: int
    routes: RouteTable
    services: dict[str, UpstreamService]
    limits: RequestLimits = field(default_factory=RequestLimits)
