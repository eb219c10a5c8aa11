"""Define one attempt that its caller still waits for."""

from dataclasses import dataclass

from geraniumlead_standins.histories.operation import Operation


@dataclass(slots=True)
class OpenRequest:
    """Tie an attempt to its operation; ``is_closed`` once its caller saw the end of it."""

    request_id: str
    operation: Operation
    instance: str
    deadline_ms: float
    is_closed: bool = False
    has_timed_out: bool = False
