from dataclasses import dataclass

_SEPARATOR = "."
_PART_COUNT = 3


@dataclass(slots=True, frozen=True)
class TicketName:
    """A ticket's name: the issuing instance, its incarnation and a serial unique within it.

    Every instance can read from it which instance issued the ticket.
    """

    instance_id: str
    incarnation: str
    serial: str

    @classmethod
    def from_text(cls, text: str) -> "TicketName | None":
        """Parse a ticket that a caller sent; return None if it is malformed."""
        parts = text.split(_SEPARATOR)
        if len(parts) != _PART_COUNT or not all(parts):
            return None
        return cls(*parts)

    def to_text(self) -> str:
        """Return the text form that callers get."""
        return _SEPARATOR.join((self.instance_id, self.incarnation, self.serial))
