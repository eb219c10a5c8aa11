"""Define the wish to read the platform."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ReadPlatform:
    """Start or stop reading the platform.

    ``watch`` keeps a waiting watch open; otherwise one full read is made. ``read_number``
    comes back with the documents, and only with a read that was begun after this action.
    """

    watch: bool
    stop: bool = False
    read_number: int = 0
