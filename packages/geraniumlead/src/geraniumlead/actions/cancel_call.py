from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CancelCall:
    """Cancel a call whose answer is no longer needed; no UpstreamAnswered follows."""

    call_id: str
