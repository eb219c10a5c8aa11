from dataclasses import dataclass

from geraniumlead.documents.refused_document import RefusedDocument
from geraniumlead.documents.versioned import VersionedValue


@dataclass(slots=True, frozen=True)
class StoreChange:
    """The values that were stored and those of them that were refused.

    ``conflicts`` are keys that arrived with the revision already held but a different value.
    ``is_forked`` is set for a snapshot that contradicts earlier revisions of the platform.
    """

    stored: tuple[VersionedValue, ...]
    refused: tuple[RefusedDocument, ...]
    conflicts: tuple[str, ...] = ()
    is_forked: bool = False
