from dataclasses import dataclass


@dataclass(slots=True)
class Operation:
    """One operation of a caller with all its attempts; every record of it echoes ``token``."""

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
