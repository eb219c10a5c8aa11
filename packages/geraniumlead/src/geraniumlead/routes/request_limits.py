"""Define how much a caller may send, and in which time."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bound the headers, the body, and the waits of a caller's connection.

    The defaults hold until a configuration is in force: common servers' limits, and an idle
    time above that of common clients.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0
