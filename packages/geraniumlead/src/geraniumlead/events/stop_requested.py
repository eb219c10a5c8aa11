from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StopRequested:
    """The process was asked to shut down gracefully: finish open work and accept no new work."""
