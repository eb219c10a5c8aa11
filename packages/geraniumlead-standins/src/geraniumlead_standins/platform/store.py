from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StoredValue:
    """A change of a key; a ``value`` of None is a deletion."""

    key: str
    value: bytes | None
    revision: int


class PlatformStore:
    """The published keys and their revisions.

    All changes are kept in order; the newest change of a key gives its value.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.changes: list[StoredValue] = []

    def put(self, key: str, value: bytes | None) -> int:
        """Publish a value, or delete the key if it is None; return the new revision."""
        self.revision += 1
        self.changes.append(StoredValue(key, value, self.revision))
        return self.revision

    def restore(self, revision: int) -> None:
        """Restore a backup: later changes are lost and their revision numbers are reused."""
        self.changes = [change for change in self.changes if change.revision <= revision]
        self.revision = revision

    def find_live(
        self, revision: int, is_visible: Callable[[StoredValue], bool]
    ) -> list[StoredValue]:
        """Return the value that each key has at a revision, without deleted keys."""
        past_changes = [change for change in self.changes if change.revision <= revision]
        newest = {change.key: change for change in past_changes if is_visible(change)}
        return [change for change in newest.values() if change.value is not None]

    def find_between(self, first: int, last: int) -> list[StoredValue]:
        """Return the changes from revision ``first`` to ``last``, both included, in order."""
        return [change for change in self.changes if first <= change.revision <= last]
