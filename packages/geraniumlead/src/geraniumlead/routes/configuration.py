from dataclasses import dataclass, field

from geraniumlead.routes.request_limits import RequestLimits
from geraniumlead.routes.route_table import RouteTable
from geraniumlead.routes.service import UpstreamService


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """One version of the operators' configuration; version numbers only increase."""

    version: int
    routes: RouteTable
    services: dict[str, UpstreamService]
    limits: RequestLimits = field(default_factory=RequestLimits)
