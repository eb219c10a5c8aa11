"""Outcomes of ``AdmissionController.offer`` and ``pop_ready``."""

from dataclasses import dataclass

from geraniumlead.requests.caller_request import CallerRequest
from geraniumlead.requests.reasons import RefusalReason


@dataclass(slots=True, frozen=True)
class Admitted:
    """The request starts now."""

    request: CallerRequest


@dataclass(slots=True, frozen=True)
class Queued:
    """The request waits; ``pop_ready`` returns it later."""

    request: CallerRequest


@dataclass(slots=True, frozen=True)
class Refused:
    """The request is refused now and did not run."""

    request: CallerRequest
    reason: RefusalReason
    retry_after_ms: float


AdmissionDecision = Admitted | Queued | Refused
