"""Name a ticket so that every instance knows who issued it."""

from dataclasses import dataclass

_SEPARATOR = "."
_PART_COUNT = 3


@dataclass(slots=True, frozen=True)
class TicketName:
    """Name the issuing instance, its incarnation and a number that is unique in it."""

    instance_id: str
    incarnation: str
    serial: str

    @classmethod
    def from_text(cls, text: str) -> "TicketName | None":
        """Parse a ticket that a caller sent; None when it is malformed."""
        parts = text.split(_SEPARATOR)
        if len(parts) != _PART_COUNT or not all(parts):
            return None
        return cls(*parts)

    def to_text(self) -> str:
        """Return the text that callers hold."""
        return _SEPARATOR.join((self.instance_id, self.incarnation, self.serial))
