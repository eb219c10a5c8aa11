"""Define one stream of callers' requests."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random


class AfterRefusal(StrEnum):
    """Name what a caller does when its request is refused."""

    LEAVE = "leave"
    RETURN_AT_ONCE = "return_at_once"
    HONOUR_TIME = "honour_time"


@dataclass(slots=True, frozen=True)
class CallerStream:
    """Send requests of one class at random times (a Poisson process) through all instances."""

    class_name: str
    rate_per_s: float
    customer: str = "acme"
    start_ms: float = 8_000.0
    end_ms: float = 18_000.0
    deadline_ms: float = 200.0
    after_refusal: AfterRefusal = AfterRefusal.LEAVE
    most_returns: int = 20
    returns_until_ms: float = 0.0
    key_of: Callable[[Random], str | None] = lambda random: None
    query_of: Callable[[Random], bytes] = lambda random: b"{}"
    label: str = ""

    @property
    def name(self) -> str:
        """Return the name under which the stream is reported."""
        return self.label or self.class_name
