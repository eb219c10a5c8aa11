from msgspec import Struct


class VersionedValue(Struct, frozen=True, array_like=True):
    """The value of a key of the platform; ``value`` None is a deletion at ``revision``."""

    key: str
    revision: int
    value: bytes | None
