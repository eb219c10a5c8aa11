"""Define the wish to read the platform."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ReadPlatform:
    """Start or stop reading the platform.

    ``watch`` keeps a waiting watch open; otherwise one full read is made.
    """

    watch: bool
    stop: bool = False
