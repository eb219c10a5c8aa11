"""Define news from the platform."""

from dataclasses import dataclass

from geraniumlead.documents.versioned import VersionedValue


@dataclass(slots=True, frozen=True)
class DocumentsReceived:
    """The platform answered a read or watch.

    ``is_snapshot`` is set when ``documents`` holds every key, so that a missing key was
    deleted at or before ``revision``.
    """

    revision: int
    documents: tuple[VersionedValue, ...]
    is_snapshot: bool
