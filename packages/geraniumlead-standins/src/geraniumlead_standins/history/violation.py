"""Define a broken promise that a check found."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Violation:
    """Say which point was broken, when, and by what."""

    invariant: str
    at_ns: int
    detail: str
