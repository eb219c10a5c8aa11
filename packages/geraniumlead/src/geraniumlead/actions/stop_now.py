"""Define the end of a graceful shutdown."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StopNow:
    """All work in hand has ended, or its bound has passed: the process may exit."""

    cut_off_requests: int
