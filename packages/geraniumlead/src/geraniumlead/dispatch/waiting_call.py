from dataclasses import dataclass

from geraniumlead.upstreams.subquery import Subquery


@dataclass(slots=True)
class WaitingCall:
    """A subquery in the queue of an upstream, with its origin and deadline."""

    subquery: Subquery
    origin: str | None
    deadline_ms: float
    long_running: bool = False
    started_ms: float = 0.0
