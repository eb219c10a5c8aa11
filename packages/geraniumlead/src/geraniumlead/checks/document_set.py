"""Define documents that are checked together."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class NamedDocument:
    """Tie a decoded document to the file, or file and key, that it came from."""

    name: str
    document: object


@dataclass(slots=True, frozen=True)
class DocumentSet:
    """Hold decoded documents."""

    documents: tuple[NamedDocument, ...]

    def of_type(self, kind: type) -> list[NamedDocument]:
        """Return the documents of one type."""
        return [item for item in self.documents if isinstance(item.document, kind)]
