from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RefusedDocument:
    """The reason why a whole document is refused; the last good one stays in force."""

    key: str
    revision: int
    reason: str
