"""Define the final answer to a caller."""

from dataclasses import dataclass

from geraniumlead.requests.outcomes import Outcome


@dataclass(slots=True, frozen=True)
class AnswerCaller:
    """Give a request its one final outcome.

    ``queued_ms`` is the time before the first subquery was sent, ``subqueries`` how many
    were sent, ``extra_subqueries`` how many of them were hedges, retries or canaries.
    """

    request_id: str
    customer: str
    class_name: str
    outcome: Outcome
    arrived_ms: float
    queued_ms: float = 0.0
    subqueries: int = 0
    extra_subqueries: int = 0
