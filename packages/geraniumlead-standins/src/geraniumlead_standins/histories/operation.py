"""Define what a caller wants done, over all its attempts."""

from dataclasses import dataclass


@dataclass(slots=True)
class Operation:
    """Follow one operation; ``token`` is echoed by every record that answers it."""

    token: str
    class_name: str
    query: bytes
    idempotent: bool = True
    key: str | None = None
    ticket: str | None = None
    attempts: int = 0
    is_done: bool = False
    gives_up_after_ms: float | None = None
    sends_twice: bool = False
