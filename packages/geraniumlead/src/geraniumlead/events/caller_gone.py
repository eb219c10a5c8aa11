"""Define the loss of a caller."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CallerGone:
    """The caller of an open request closed its connection."""

    request_id: str
