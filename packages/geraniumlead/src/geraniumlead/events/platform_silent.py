"""Define a failed read of the platform."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PlatformSilent:
    """A read or watch of the platform failed."""

    detail: str
