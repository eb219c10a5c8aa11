from geraniumlead.documents import VersionedValue


class SeenKeys:
    """The keys that exist and their newest revision, as received from the platform.

    ``newest_revision`` is the highest revision of a received value, and ``revision`` that of the
    whole store, which also counts deletions and changes of other keys.

    A watch whose connection was lost on the network path without a reset stays open and
    delivers nothing, just like a watch without changes. Comparing this state with a small read
    of the newest revision and the number of keys tells the two apart.
    """

    __slots__ = ("_keys", "newest_revision", "revision")

    def __init__(self) -> None:
        self._keys: set[str] = set()
        self.newest_revision = 0
        self.revision = 0

    def update(
        self, documents: tuple[VersionedValue, ...], revision: int, is_snapshot: bool
    ) -> None:
        """Apply the documents of a read (a snapshot) or of a watch."""
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
        """Return whether a newest revision and a number of keys show no change that was missed."""
        return newest_revision <= self.newest_revision and key_count == len(self._keys)
