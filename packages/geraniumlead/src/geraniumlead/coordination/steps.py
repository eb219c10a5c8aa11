"""Define what a coordinator asks for."""

from dataclasses import dataclass

from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.outcomes import Outcome
from geraniumlead.routing.route import Route
from geraniumlead.upstreams.subquery import Subquery


@dataclass(slots=True, frozen=True)
class AskUpstream:
    """Send a subquery on its route."""

    subquery: Subquery
    route: Route


@dataclass(slots=True, frozen=True)
class DropCall:
    """Cancel a subquery whose answer is no longer wanted."""

    call_id: str
    route: Route


@dataclass(slots=True, frozen=True)
class EndQuery:
    """Give a query its outcome."""

    request: CallerRequest
    outcome: Outcome
    queued_ms: float
    subqueries: int
    extra_subqueries: int


CoordinationStep = AskUpstream | DropCall | EndQuery
