"""Define the outcome of decoding a document that breaks a rule."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RefusedDocument:
    """Say why a document is refused whole; the last good one stays in force."""

    key: str
    revision: int
    reason: str
