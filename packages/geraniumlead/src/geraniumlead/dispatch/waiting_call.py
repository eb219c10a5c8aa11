"""Define a subquery in an upstream's queue."""

from dataclasses import dataclass

from geraniumlead.upstreams.subquery import Subquery


@dataclass(slots=True)
class WaitingCall:
    """Remember whose subquery it is and when its time is over."""

    subquery: Subquery
    origin: str | None
    deadline_ms: float
    long_running: bool = False
    started_ms: float = 0.0
