from dataclasses import dataclass

from geraniumlead.requests.caller_request import CallerRequest


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A request arrived from a caller whose credential was checked."""

    request: CallerRequest
