from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StopNow:
    """Exit the process: all work in progress is done, or the time limit has passed."""

    unfinished_requests: int
