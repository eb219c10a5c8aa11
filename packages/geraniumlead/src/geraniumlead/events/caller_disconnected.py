from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CallerDisconnected:
    """The caller of an open request closed its connection."""

    request_id: str
