from dataclasses import dataclass

MAX_CONNECTIONS = 2_000
"""With two upstream connections each, these stay below 4,100 file descriptors."""

MAX_QUEUED = 500
"""Connections that wait for a place; the file descriptors allow for them, too."""

MAX_HELD_BYTES = 60 * 1024 * 1024
"""A fifth of the memory of a machine of 300 MB."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What all connections of callers of one server may take together.

    ``connections`` limits those that are read, ``queued`` those that wait for one of their places,
    and ``held_bytes`` the memory of their requests and of answers that they have not read.
    """

    connections: int = MAX_CONNECTIONS
    queued: int = MAX_QUEUED
    held_bytes: int = MAX_HELD_BYTES
