"""Hold what operators published, for reads and watches in virtual time."""

from geraniumlead.documents import VersionedValue


class FakePlatform:
    """Keep documents and revisions; may be down, slow, or serve an old copy."""

    __slots__ = ("_changes", "calls", "delay_ms", "is_down", "revision", "stale_at_revision")

    def __init__(self) -> None:
        self._changes: list[VersionedValue] = []
        self.revision = 0
        self.is_down = False
        self.stale_at_revision: int | None = None
        self.delay_ms = 0.0
        self.calls = 0

    def publish(self, values: dict[str, bytes | None]) -> tuple[VersionedValue, ...]:
        """Publish values, each at a revision of its own; None deletes."""
        published = []
        for key, value in values.items():
            self.revision += 1
            published.append(VersionedValue(key, self.revision, value))
        self._changes += published
        return tuple(published)

    def restore(self, revision: int) -> None:
        """Go back to a backup: later changes are lost and their revisions used again."""
        self._changes = [change for change in self._changes if change.revision <= revision]
        self.revision = revision

    def check(self) -> int:
        """Return the revision that a reader sees now."""
        self.calls += 1
        return self.revision if self.stale_at_revision is None else self.stale_at_revision

    def read(self) -> tuple[int, tuple[VersionedValue, ...]]:
        """Return the revision and live documents that a reader sees now."""
        visible_revision = self.check()
        newest = {
            change.key: change for change in self._changes if change.revision <= visible_revision
        }
        return visible_revision, tuple(
            change for change in newest.values() if change.value is not None
        )
