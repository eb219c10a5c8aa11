from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PlatformReadFailed:
    """A read or watch of the platform failed."""

    detail: str
