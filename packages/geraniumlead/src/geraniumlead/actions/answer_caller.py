from dataclasses import dataclass

from geraniumlead.requests.outcomes import Outcome


@dataclass(slots=True, frozen=True)
class AnswerCaller:
    """Send the final outcome of a request to its caller.

    ``queued_ms`` is the time before the first subquery was sent, ``subqueries`` the number
    sent, and ``extra_subqueries`` the number of hedges, retries and canaries among them.
    """

    request_id: str
    customer: str
    class_name: str
    outcome: Outcome
    arrived_ms: float
    queued_ms: float = 0.0
    subqueries: int = 0
    extra_subqueries: int = 0
