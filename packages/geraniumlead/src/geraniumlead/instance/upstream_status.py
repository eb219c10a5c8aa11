from msgspec import Struct


class UpstreamStatus(Struct, frozen=True, kw_only=True):
    """The status of one upstream as this instance sees it.

    ``conditions`` is empty for an upstream that takes its full share of load.

    Its values are unproven, cold, warming, draining, suspected, leaving and out.
    """

    service: str
    data_centre: str
    in_flight: int
    waiting: int
    conditions: tuple[str, ...]


class ServiceStatus(Struct, kw_only=True):
    """The totals of this instance's own calls to the upstreams of one service."""

    in_flight: int = 0
    waiting: int = 0
