from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time that ``Instance.next_wake_ms`` returned has been reached or passed.

    ``wall_now_s`` is the time of the wall clock, for the dates of contracts, or None if there
    is none.
    """

    wall_now_s: float | None = None
