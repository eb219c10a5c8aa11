from dataclasses import dataclass

from geraniumlead.documents.versioned import VersionedValue


@dataclass(slots=True, frozen=True)
class DocumentsReceived:
    """The platform answered a read or watch.

    ``is_snapshot`` is set when ``documents`` holds every key, so that a missing key was
    deleted at or before ``revision``. Otherwise ``documents`` holds all changes since the
    previous read or watch response. ``read_number`` is that of the ReadPlatform action that
    this event answers, or 0 for updates of a watch. ``above_revision`` is the revision after
    which the updates of a watch start; None stands for that of the previous response.
    """

    revision: int
    documents: tuple[VersionedValue, ...]
    is_snapshot: bool
    read_number: int = 0
    above_revision: int | None = None
