"""Define what the configuration says of one service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamService:
    """Hold the limits of each upstream of a service.

    ``most_connections`` counts the connections of all instances together. A cold upstream
    takes ``cold_requests_per_s`` over all instances for ``cold_ms``; a rate of 0 means that it
    only is slower.
    """

    name: str
    most_connections: int
    cold_requests_per_s: float
    cold_ms: float = 0.0
