"""Remember what the platform told, to notice a watch that went silent."""

from geraniumlead.documents import VersionedValue


class SeenKeys:
    """Know which keys live and the newest revision among them.

    A watch whose connection was lost track of on the way stays open and says nothing, just
    like one without news. A small read of the newest revision and the number of keys shows
    the difference.
    """

    __slots__ = ("_keys", "newest_revision", "revision")

    def __init__(self) -> None:
        self._keys: set[str] = set()
        self.newest_revision = 0
        self.revision = 0

    def take(self, documents: tuple[VersionedValue, ...], revision: int, is_snapshot: bool) -> None:
        """Note what a read or a watch told."""
        if is_snapshot:
            self._keys.clear()
            self.newest_revision = 0
        for item in documents:
            if item.value is None:
                self._keys.discard(item.key)
                continue
            self._keys.add(item.key)
            self.newest_revision = max(self.newest_revision, item.revision)
        self.revision = revision

    def matches(self, newest_revision: int, key_count: int) -> bool:
        """Return whether the platform holds nothing that was not told."""
        return newest_revision <= self.newest_revision and key_count == len(self._keys)
