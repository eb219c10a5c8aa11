"""Define news from the platform."""

from dataclasses import dataclass

from geraniumlead.documents.versioned import VersionedValue


@dataclass(slots=True, frozen=True)
class DocumentsReceived:
    """The platform answered a read or watch.

    ``is_snapshot`` is set when ``documents`` holds every key, so that a missing key was
    deleted at or before ``revision``. Without it they are all changes since the read or
    watch answer before. ``read_number`` is that of the ReadPlatform which it answers, 0 for
    a watch's news. ``above_revision`` is the revision that a watch's news continue from;
    None stands for the answer before.
    """

    revision: int
    documents: tuple[VersionedValue, ...]
    is_snapshot: bool
    read_number: int = 0
    above_revision: int | None = None
