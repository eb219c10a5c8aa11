from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random


class RetryPolicy(StrEnum):
    """Whether and when a caller retries a refused request."""

    GIVE_UP = "leave"
    RETRY_AT_ONCE = "return_at_once"
    HONOUR_RETRY_AFTER = "honour_time"


@dataclass(slots=True, frozen=True)
class CallerStream:
    """A stream of requests of one class: a Poisson process spread over all instances."""

    class_name: str
    rate_per_s: float
    customer: str = "acme"
    start_ms: float = 8_000.0
    end_ms: float = 18_000.0
    deadline_ms: float = 200.0
    retry_policy: RetryPolicy = RetryPolicy.GIVE_UP
    max_retries: int = 20
    retry_until_ms: float = 0.0
    draw_key: Callable[[Random], str | None] = lambda random: None
    draw_query: Callable[[Random], bytes] = lambda random: b"{}"
    label: str = ""

    @property
    def name(self) -> str:
        """Return the name of the stream in results."""
        return self.label or self.class_name
