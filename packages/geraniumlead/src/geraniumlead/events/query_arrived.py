"""Define the arrival of a caller's request."""

from dataclasses import dataclass

from geraniumlead.requests.caller_request import CallerRequest


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A caller whose credential was checked asks for an answer."""

    request: CallerRequest
