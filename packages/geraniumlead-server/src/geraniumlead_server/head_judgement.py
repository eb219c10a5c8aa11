"""What can be said of a request once its head is known."""

from dataclasses import dataclass

from geraniumlead.caller_load import RefusalCause


@dataclass(frozen=True, slots=True)
class Acceptable:
    """The request may be forwarded, to ``copies`` upstreams at the same time."""

    copies: int = 1


@dataclass(frozen=True, slots=True)
class Refused:
    """The request will not be forwarded; ``retry_after_ms`` is None where a retry is no use."""

    status: int
    cause: RefusalCause
    retry_after_ms: float | None = None


HeadJudgement = Acceptable | Refused

REASONS = {
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


def render_refusal(refused: Refused, keeps_connection: bool = False) -> bytes:
    """Return a response without a body; the connection is closed after it, unless it is kept."""
    lines = [f"HTTP/1.1 {refused.status} {REASONS[refused.status]}", "content-length: 0"]
    if refused.retry_after_ms is not None:
        lines.append(f"retry-after: {refused.retry_after_ms / 1000.0:.3f}")
    if not keeps_connection:
        lines.append("connection: close")
    return "\r\n".join([*lines, "", ""]).encode()
