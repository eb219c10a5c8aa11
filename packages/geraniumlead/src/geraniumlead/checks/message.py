"""Define what a check found."""

from enum import StrEnum

from msgspec import Struct


class Level(StrEnum):
    """Tell what refuses a document from what only deserves a look."""

    ERROR = "error"
    WARNING = "warning"


class CheckMessage(Struct, frozen=True, kw_only=True):
    """Name one finding; ``path`` leads to it inside its document, ``$`` is the whole."""

    id: str
    path: str
    text: str
    hint: str = ""
    level: Level = Level.ERROR

    def to_text(self) -> str:
        """Return the finding on one line."""
        line = f"{self.id} {self.path}: {self.text}"
        return f"{line} ({self.hint})" if self.hint else line
