from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size of headers and body, and timeouts of a caller's connection.

    The defaults apply until a configuration is in force. They are the limits of common servers,
    and an idle timeout longer than that of common clients.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0
