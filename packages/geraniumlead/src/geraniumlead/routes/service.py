from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamService:
    """The limits of each upstream of a service.

    ``max_connections`` limits the connections of all instances together. A cold upstream takes
    ``cold_requests_per_s`` over all instances for ``cold_ms``; a rate of 0 means that there is
    no such limit and a cold upstream is only slower.
    """

    name: str
    max_connections: int
    cold_requests_per_s: float
    cold_ms: float = 0.0
