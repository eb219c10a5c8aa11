from dataclasses import dataclass

from geraniumlead_standins.histories.operation import Operation


@dataclass(slots=True)
class OperationAttempt:
    """One attempt of an operation, as a request to one instance.

    ``is_closed`` is set once its caller saw the outcome or disconnected.
    """

    request_id: str
    operation: Operation
    instance: str
    deadline_ms: float
    is_closed: bool = False
    has_timed_out: bool = False
