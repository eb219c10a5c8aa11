"""The known upstreams, as they and the operators publish them."""

from geraniumlead.fleet.fleet_view import FleetView
from geraniumlead.fleet.upstream_record import UpstreamRecord

__all__ = ["FleetView", "UpstreamRecord"]
