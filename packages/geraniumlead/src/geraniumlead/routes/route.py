from dataclasses import dataclass

from geraniumlead.routes.targets import FanOut, OneService, RouteTarget, SplitServices


@dataclass(frozen=True, slots=True)
class Route:
    """The target of requests with a host and path prefix, and their limits.

    ``max_upstreams`` limits the upstreams that one request is sent to, in a fan-out those of each
    shard. ``priority`` 0 is the most urgent. An empty ``allowed_regions`` allows all regions.
    """

    name: str
    host: str
    prefix: str
    target: RouteTarget
    is_idempotent: bool
    timeout_ms: float
    latency_goal_ms: float
    priority: int
    max_upstreams: int
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
