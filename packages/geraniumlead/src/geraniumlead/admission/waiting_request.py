from dataclasses import dataclass

from geraniumlead.requests.caller_request import CallerRequest

SERVICE_TIME_FACTOR = 2.5
MAX_MARGIN_SHARE = 0.5
"""A request that starts with only the mean service time left fails half of the time, and the work
of its subqueries is wasted. With 2.5 times the mean left about one in a hundred fails."""


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request with the data by which it is scheduled.

    ``cost`` is 1.0 for a request to all shards, and one divided by the number of shards for a
    request with a key. ``latest_start_ms`` is the latest time at which it may start and still
    end before its deadline. ``kind`` groups requests of similar service time.
    """

    request: CallerRequest
    priority: int
    weight: int
    cost: float
    latest_start_ms: float
    kind: str
    started_ms: float = 0.0
    is_removed: bool = False

    @classmethod
    def from_request(
        cls, request: CallerRequest, priority: int, weight: int, shards: int, service_ms: float
    ) -> "WaitingRequest":
        """Return the entry of a request. ``service_ms`` is the unloaded latency of its kind."""
        margin_ms = min(
            SERVICE_TIME_FACTOR * service_ms,
            MAX_MARGIN_SHARE * (request.deadline_ms - request.arrived_ms),
        )
        return cls(
            request=request,
            priority=priority,
            weight=weight,
            cost=1.0 if request.key is None else 1.0 / shards,
            latest_start_ms=request.deadline_ms - margin_ms,
            kind=kind_of(request),
        )


def kind_of(request: CallerRequest) -> str:
    """Return the name of the group of requests of similar service time."""
    return "all" if request.key is None else "keyed"
