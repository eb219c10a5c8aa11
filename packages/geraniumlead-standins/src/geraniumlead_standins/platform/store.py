"""Keep the published keys and their revisions."""

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
        self._newest: dict[str, StoredValue] = {}

    def put(self, key: str, value: bytes | None) -> int:
        """Publish a value, or delete the key with None; return the new revision."""
        self.revision += 1
        change = StoredValue(key, value, self.revision)
        self.changes.append(change)
        self._newest[key] = change
        return self.revision

    def find_live(self) -> list[StoredValue]:
        """Return the newest value of every key that is not deleted."""
        return [change for change in self._newest.values() if change.value is not None]

    def find_since(self, revision: int) -> list[StoredValue]:
        """Return the changes from ``revision`` on, in order."""
        return [change for change in self.changes if change.revision >= revision]
