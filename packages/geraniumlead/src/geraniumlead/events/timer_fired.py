"""Define the passing of time."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time that ``Instance.next_wake_ms`` named has come, or passed."""
