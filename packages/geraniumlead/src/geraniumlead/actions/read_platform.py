from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ReadPlatform:
    """Start or stop reading the platform.

    ``watch`` keeps a watch open; otherwise one full read is made. ``read_number`` is returned
    with the documents, and only by a read that began after this action.
    """

    watch: bool
    stop: bool = False
    read_number: int = 0
