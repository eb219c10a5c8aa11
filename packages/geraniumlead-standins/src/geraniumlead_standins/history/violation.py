from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Violation:
    """A violation of an invariant that a check found, with its time and cause."""

    invariant: str
    at_ns: int
    detail: str
