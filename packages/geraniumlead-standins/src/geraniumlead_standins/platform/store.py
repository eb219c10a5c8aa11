"""Keep the published keys and their revisions."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StoredValue:
    """Hold one change; ``value`` None is a deletion."""

    key: str
    value: bytes | None
    revision: int


class PlatformStore:
    """Keep every change in order; the newest of a key is its value."""

    def __init__(self) -> None:
        self.revision = 0
        self.changes: list[StoredValue] = []

    def put(self, key: str, value: bytes | None) -> int:
        """Publish a value, or delete the key with None; return the new revision."""
        self.revision += 1
        self.changes.append(StoredValue(key, value, self.revision))
        return self.revision

    def restore(self, revision: int) -> None:
        """Go back to a backup: later changes are lost and their revisions used again."""
        self.changes = [change for change in self.changes if change.revision <= revision]
        self.revision = revision

    def find_live(self, up_to: int, is_shown: Callable[[StoredValue], bool]) -> list[StoredValue]:
        """Return the value at a revision of every key that is not deleted then."""
        shown = [change for change in self.changes if change.revision <= up_to]
        newest = {change.key: change for change in shown if is_shown(change)}
        return [change for change in newest.values() if change.value is not None]

    def find_between(self, first: int, last: int) -> list[StoredValue]:
        """Return the changes of a range of revisions, in order."""
        return [change for change in self.changes if first <= change.revision <= last]
