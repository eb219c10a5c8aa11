from geraniumlead.documents import VersionedValue


class FakePlatform:
    """The documents that operators published, for reads and watches in virtual time.

    ``is_down`` and ``delay_ms`` are applied by ``VirtualRun``. With ``stale_at_revision``,
    readers see only the state at that revision.
    """

    __slots__ = ("_changes", "calls", "delay_ms", "is_down", "revision", "stale_at_revision")

    def __init__(self) -> None:
        self._changes: list[VersionedValue] = []
        self.revision = 0
        self.is_down = False
        self.stale_at_revision: int | None = None
        self.delay_ms = 0.0
        self.calls = 0

    def publish(self, values: dict[str, bytes | None]) -> tuple[VersionedValue, ...]:
        """Publish values, each with its own revision; None deletes the key."""
        published = []
        for key, value in values.items():
            self.revision += 1
            published.append(VersionedValue(key, self.revision, value))
        self._changes += published
        return tuple(published)

    def restore(self, revision: int) -> None:
        """Restore the backup of a revision: later changes are lost, their revisions are reused."""
        self._changes = [change for change in self._changes if change.revision <= revision]
        self.revision = revision

    def check(self) -> int:
        """Return the revision that readers see now, and count the call."""
        self.calls += 1
        return self.revision if self.stale_at_revision is None else self.stale_at_revision

    def read(self) -> tuple[int, tuple[VersionedValue, ...]]:
        """Return the revision and the documents (without deleted ones) that readers see now."""
        visible_revision = self.check()
        newest = {
            change.key: change for change in self._changes if change.revision <= visible_revision
        }
        return visible_revision, tuple(
            change for change in newest.values() if change.value is not None
        )
