"""Define what came of applying documents."""

from dataclasses import dataclass

from geraniumlead.documents.refused_document import RefusedDocument
from geraniumlead.documents.versioned import VersionedValue


@dataclass(slots=True, frozen=True)
class StoreChange:
    """List what was taken and what was refused."""

    taken: tuple[VersionedValue, ...]
    refused: tuple[RefusedDocument, ...]
