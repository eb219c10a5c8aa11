"""Steps that the coordinator returns for its instance to carry out."""

from dataclasses import dataclass

from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.outcomes import Outcome
from geraniumlead.routing.subquery_route import SubqueryRoute
from geraniumlead.upstreams.subquery import Subquery


@dataclass(slots=True, frozen=True)
class SendSubquery:
    """Send a subquery along its route."""

    subquery: Subquery
    route: SubqueryRoute


@dataclass(slots=True, frozen=True)
class CancelSubquery:
    """Cancel a subquery whose answer is no longer wanted."""

    call_id: str
    route: SubqueryRoute


@dataclass(slots=True, frozen=True)
class EndQuery:
    """Report the outcome of a query."""

    request: CallerRequest
    outcome: Outcome
    queued_ms: float
    subqueries: int
    extra_subqueries: int


CoordinationStep = SendSubquery | CancelSubquery | EndQuery
