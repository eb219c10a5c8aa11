"""Define a platform value together with its revision."""

from msgspec import Struct


class VersionedValue(Struct, frozen=True, array_like=True):
    """Carry one key's value; ``value`` None is a deletion at ``revision``."""

    key: str
    revision: int
    value: bytes | None
