"""Define the passing of time."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time that ``Instance.next_wake_ms`` named has come, or passed.

    ``wall_now_s`` is a reading of the wall clock, for the dates of contracts; None where
    there is none.
    """

    wall_now_s: float | None = None
