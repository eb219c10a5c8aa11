"""Define the start of a graceful shutdown."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StopRequested:
    """The process was asked to stop: finish the work in hand, take no new work."""
