"""Define the status of upstreams and services as one instance sees them."""

from msgspec import Struct


class UpstreamStatus(Struct, frozen=True, kw_only=True):
    """Show one upstream; ``conditions`` is empty for one that takes its full share.

    Conditions: unproven, cold, warming, draining, suspected, leaving, out.
    """

    service: str
    data_centre: str
    in_flight: int
    waiting: int
    conditions: tuple[str, ...]


class ServiceStatus(Struct, kw_only=True):
    """Sum up this instance's own calls to the upstreams of one service."""

    in_flight: int = 0
    waiting: int = 0
