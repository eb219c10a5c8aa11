"""Know the upstreams that are there, from what they and operators publish."""

from geraniumlead.fleet.fleet_view import FleetView
from geraniumlead.fleet.upstream_record import UpstreamRecord

__all__ = ["FleetView", "UpstreamRecord"]
