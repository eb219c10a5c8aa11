"""Keep the newest accepted revision of every document."""

from collections.abc import Iterable

from geraniumlead.configuration.cluster_view import ClusterView
from geraniumlead.configuration.store_change import StoreChange
from geraniumlead.documents.decoding import decode_document
from geraniumlead.documents.kinds import kind_of_key
from geraniumlead.documents.refused_document import RefusedDocument
from geraniumlead.documents.versioned import VersionedValue


class DocumentStore:
    """Accept documents by revision, so that no source can bring an old one back.

    A platform that restarts from an old copy, or a peer that slept, offers revisions that
    are lower than those in force; they are dropped, so a configuration never reverts.
    """

    __slots__ = ("_documents", "_newest", "_refused", "revision", "view")

    def __init__(self) -> None:
        self._newest: dict[str, VersionedValue] = {}
        self._documents: dict[str, object] = {}
        self._refused: dict[str, RefusedDocument] = {}
        self.revision = 0
        self.view = ClusterView()

    @property
    def refused(self) -> tuple[RefusedDocument, ...]:
        """Return the documents whose newest revision was refused."""
        return tuple(self._refused.values())

    def apply(
        self, documents: Iterable[VersionedValue], revision: int, is_snapshot: bool = False
    ) -> StoreChange:
        """Take the documents that are newer than those held.

        ``revision`` is the platform revision that the documents bring the store to. With
        ``is_snapshot``, keys that are missing from ``documents`` were deleted.
        """
        documents = tuple(documents)
        if is_snapshot and revision >= self.revision:
            documents += self._find_deletions(documents, revision)
        taken, refused = [], []
        for versioned in documents:
            if not self._is_news(versioned):
                continue
            taken.append(versioned)
            self._newest[versioned.key] = versioned
            refusal = self._put(versioned)
            if refusal is not None:
                refused.append(refusal)
        self.revision = max(self.revision, revision)
        if taken:
            self.view = ClusterView.from_documents(list(self._documents.values()))
        return StoreChange(tuple(taken), tuple(refused))

    def revision_of(self, key: str) -> int:
        """Return the newest revision of one document, or 0 when it was never seen."""
        held = self._newest.get(key)
        return 0 if held is None else held.revision

    def documents_above(self, revision: int) -> tuple[VersionedValue, ...]:
        """Return every value and deletion with a higher revision, for a peer that lags."""
        return tuple(held for held in self._newest.values() if held.revision > revision)

    def _is_news(self, versioned: VersionedValue) -> bool:
        if kind_of_key(versioned.key) is None:
            return False
        held = self._newest.get(versioned.key)
        return held is None or versioned.revision > held.revision

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
        if versioned.value is None:
            self._documents.pop(versioned.key, None)
            self._refused.pop(versioned.key, None)
            return None
        document = decode_document(versioned)
        if isinstance(document, RefusedDocument):
            self._refused[versioned.key] = document
            return document
        self._documents[versioned.key] = document
        self._refused.pop(versioned.key, None)
        return None
