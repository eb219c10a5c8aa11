from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class NamedDocument:
    """A decoded document and the name of the file, or file and key, that it came from."""

    name: str
    document: object


@dataclass(slots=True, frozen=True)
class DocumentSet:
    """Decoded documents that are checked together."""

    documents: tuple[NamedDocument, ...]

    def of_type(self, document_type: type) -> list[NamedDocument]:
        """Return the documents of one type."""
        return [item for item in self.documents if isinstance(item.document, document_type)]
