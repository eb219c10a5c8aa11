"""Define a request in the queue."""

from dataclasses import dataclass

from geraniumlead.requests.caller_request import CallerRequest

SERVICE_MARGIN = 2.5
MOST_MARGIN_SHARE = 0.5
"""A request that starts with just the mean service time left fails half of the time, and its
subqueries were for nothing; with 2.5 times the mean left about one in a hundred fails."""


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """Hold a request and what the order of service needs to know of it.

    ``cost`` is 1.0 for a request to all shards and one shard's part for a keyed one.
    ``latest_start_ms`` is the time after which it cannot end in time any more.
    ``kind`` groups requests of like service time.
    """

    request: CallerRequest
    priority: int
    weight: int
    cost: float
    latest_start_ms: float
    kind: str
    started_ms: float = 0.0
    is_gone: bool = False

    @classmethod
    def from_request(
        cls, request: CallerRequest, priority: int, weight: int, shards: int, service_ms: float
    ) -> "WaitingRequest":
        """Build the entry of a request; ``service_ms`` is the unloaded time of its kind."""
        margin_ms = min(
            SERVICE_MARGIN * service_ms,
            MOST_MARGIN_SHARE * (request.deadline_ms - request.arrived_ms),
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
    """Return the group of requests of like service time."""
    return "all" if request.key is None else "keyed"
