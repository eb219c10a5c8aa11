from dataclasses import dataclass

from geraniumlead_standins.histories.operation import Operation


@dataclass(slots=True)
class OpenRequest:
    """One attempt of an operation; ``is_closed`` once its caller saw the outcome or left."""

    request_id: str
    operation: Operation
    instance: str
    deadline_ms: float
    is_closed: bool = False
    has_timed_out: bool = False
