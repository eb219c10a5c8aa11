"""Define the cancellation of a call."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CancelCall:
    """End a call whose answer is no longer wanted; no UpstreamAnswered follows."""

    call_id: str
