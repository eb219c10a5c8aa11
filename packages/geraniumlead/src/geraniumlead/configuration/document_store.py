from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.configuration.store_change import StoreChange
from geraniumlead.documents.decoding import decode_document
from geraniumlead.documents.kinds import kind_of_key
from geraniumlead.documents.refused_document import RefusedDocument
from geraniumlead.documents.versioned import VersionedValue


class DocumentStore:
    """The newest accepted revision of every document; no source can bring back an old one.

    A platform that restarts from an old copy, or a peer that was paused, offers revisions that
    are lower than those in force. They are dropped, so a configuration never reverts.

    ``revision`` is complete: every change up to it was applied. ``digest`` covers the documents
    that are not deleted, with their revisions, and does not depend on their order of arrival.
    Two stores with equal revisions and digests therefore act on the same configuration.
    """

    __slots__ = ("_documents", "_last_good", "_newest", "_refused", "digest", "revision", "view")

    def __init__(self) -> None:
        self._newest: dict[str, VersionedValue] = {}
        self._documents: dict[str, object] = {}
        self._last_good: dict[str, VersionedValue] = {}
        self._refused: dict[str, RefusedDocument] = {}
        self.revision = 0
        self.digest = 0
        self.view = ClusterView()

    @property
    def refused(self) -> tuple[RefusedDocument, ...]:
        """Return the documents whose newest revision was refused."""
        return tuple(self._refused.values())

    @property
    def lacks_last_good(self) -> bool:
        """Return whether a document was refused and no earlier good one is in force instead."""
        return any(key not in self._documents for key in self._refused)

    def apply(
        self,
        documents: Iterable[VersionedValue],
        revision: int,
        is_snapshot: bool = False,
        above_revision: int | None = None,
    ) -> StoreChange:
        """Apply the documents that are newer than those held.

        ``documents`` contain every change above ``above_revision`` up to ``revision``. If
        ``above_revision`` is None, they continue from the revision of this store. With
        ``is_snapshot``, keys that are missing from ``documents`` were deleted.
        """
        documents = tuple(documents)
        is_forked = is_snapshot and self._is_forked(documents, revision)
        if is_snapshot and revision >= self.revision and not is_forked:
            documents += self._find_deletions(documents, revision)
        stored, refused, conflicts = [], [], []
        for versioned in documents:
            if self._is_conflict(versioned):
                conflicts.append(versioned.key)
            if not self._is_update(versioned):
                if self._restore_last_good(versioned):
                    stored.append(versioned)
                continue
            stored.append(versioned)
            refusal = self._put(versioned)
            if refusal is not None:
                refused.append(refusal)
        # A peer's update that leaves a gap must not raise the revision. This store would claim
        # documents that it lacks, and no peer would ever offer them again.
        if is_snapshot or above_revision is None or above_revision <= self.revision:
            self.revision = max(self.revision, revision)
        if stored:
            self.view = ClusterView.from_documents(list(self._documents.values()))
        return StoreChange(tuple(stored), tuple(refused), tuple(conflicts), is_forked)

    def revision_of(self, key: str) -> int:
        """Return the newest revision of a document, or 0 if the key is unknown."""
        held = self._newest.get(key)
        return 0 if held is None else held.revision

    def documents_above(self, revision: int) -> tuple[VersionedValue, ...]:
        """Return every value and deletion with a higher revision, for a peer that lags.

        For each key whose newest value was refused, the last good value is included.
        """
        newer = [held for held in self._newest.values() if held.revision > revision]
        good = [self._last_good[key] for key in self._refused if key in self._last_good]
        return (*good, *newer)

    def _is_update(self, versioned: VersionedValue) -> bool:
        if kind_of_key(versioned.key) is None:
            return False
        held = self._newest.get(versioned.key)
        if held is None or versioned.revision > held.revision:
            return True
        # Two values with the same revision can only come from a platform that was restored from
        # a backup. All instances keep the greater value, in whatever order they arrive.
        return self._is_conflict(versioned) and (versioned.value or b"") > (held.value or b"")

    def _restore_last_good(self, versioned: VersionedValue) -> bool:
        # Otherwise an instance that started after a bad value was published would have nothing
        # in force for the key, while its peers act on the last good value.
        key = versioned.key
        if key not in self._refused or versioned.value is None:
            return False
        held = self._last_good.get(key)
        if held is not None and held.revision >= versioned.revision:
            return False
        document = decode_document(versioned)
        if isinstance(document, RefusedDocument):
            return False
        self._last_good[key], self._documents[key] = versioned, document
        return True

    def _is_conflict(self, versioned: VersionedValue) -> bool:
        held = self._newest.get(versioned.key)
        if held is None or held.revision != versioned.revision:
            return False
        return held.value != versioned.value

    def _is_forked(self, documents: tuple[VersionedValue, ...], revision: int) -> bool:
        # By its revision the snapshot should contain the held value of a key, but it has an older
        # one, so the platform has lost changes. Keys missing from the snapshot are then lost as
        # well, and not deleted by an operator.
        for versioned in documents:
            held = self._newest.get(versioned.key)
            if held is not None and versioned.revision < held.revision <= revision:
                return True
        return False

    def _find_deletions(
        self, documents: tuple[VersionedValue, ...], revision: int
    ) -> tuple[VersionedValue, ...]:
        present = {versioned.key for versioned in documents}
        return tuple(
            VersionedValue(key, revision, None)
            for key, held in self._newest.items()
            if key not in present and held.value is not None
        )

    def _put(self, versioned: VersionedValue) -> RefusedDocument | None:
        self.digest ^= _digest_of(self._newest.get(versioned.key)) ^ _digest_of(versioned)
        self._newest[versioned.key] = versioned
        if versioned.value is None:
            self._last_good.pop(versioned.key, None)
            self._documents.pop(versioned.key, None)
            self._refused.pop(versioned.key, None)
            return None
        document = decode_document(versioned)
        if isinstance(document, RefusedDocument):
            self._refused[versioned.key] = document
            return document
        self._documents[versioned.key] = document
        self._last_good[versioned.key] = versioned
        self._refused.pop(versioned.key, None)
        return None


def _digest_of(versioned: VersionedValue | None) -> int:
    # Deletions are left out: a new instance never learns of keys deleted before its start.
    if versioned is None or versioned.value is None:
        return 0
    prefix = f"{versioned.key}\0{versioned.revision}\0".encode()
    return xxh3_64_intdigest(prefix + versioned.value)
