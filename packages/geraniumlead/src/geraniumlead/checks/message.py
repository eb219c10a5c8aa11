from enum import StrEnum

from msgspec import Struct


class Level(StrEnum):
    """The level of a finding: an error refuses the document, a warning does not."""

    ERROR = "error"
    WARNING = "warning"


class CheckMessage(Struct, frozen=True, kw_only=True):
    """A finding; ``path`` is its JSON path in the document, ``$`` for the whole document."""

    id: str
    path: str
    text: str
    hint: str = ""
    level: Level = Level.ERROR

    def to_text(self) -> str:
        """Return the finding as one line of text."""
        line = f"{self.id} {self.path}: {self.text}"
        return f"{line} ({self.hint})" if self.hint else line
