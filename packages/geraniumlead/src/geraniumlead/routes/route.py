"""Define one route."""

from dataclasses import dataclass

from geraniumlead.routes.targets import FanOut, OneService, RouteTarget, SplitServices


@dataclass(frozen=True, slots=True)
class Route:
    """Say where requests of a host and path prefix go, and within which limits.

    ``most_upstreams`` bounds the upstreams that one request (of each shard) is sent to.
    ``priority`` 0 is the most urgent. Empty ``allowed_regions`` allow all.
    """

    name: str
    host: str
    prefix: str
    target: RouteTarget
    is_idempotent: bool
    timeout_ms: float
    latency_goal_ms: float
    priority: int
    most_upstreams: int
    allowed_regions: frozenset[str]

    def services(self) -> tuple[str, ...]:
        """Return every service that requests of this route may reach."""
        match self.target:
            case OneService(service=service):
                return (service,)
            case SplitServices(weights=weights):
                return tuple(service for service, _ in weights)
            case FanOut(shards=shards):
                return shards
