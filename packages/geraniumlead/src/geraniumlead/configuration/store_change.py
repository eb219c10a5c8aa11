"""Define what came of applying documents."""

from dataclasses import dataclass

from geraniumlead.documents.refused_document import RefusedDocument
from geraniumlead.documents.versioned import VersionedValue


@dataclass(slots=True, frozen=True)
class StoreChange:
    """List what was taken and what was refused.

    ``conflicts`` are keys that came with a revision held already but another value.
    ``is_forked`` is set for a snapshot that contradicts what the platform said before.
    """

    taken: tuple[VersionedValue, ...]
    refused: tuple[RefusedDocument, ...]
    conflicts: tuple[str, ...] = ()
    is_forked: bool = False
