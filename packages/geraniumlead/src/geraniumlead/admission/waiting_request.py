"""Define a request in the queue."""

from dataclasses import dataclass

from geraniumlead.requests.caller_request import CallerRequest


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
