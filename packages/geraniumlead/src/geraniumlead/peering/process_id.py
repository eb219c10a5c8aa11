from dataclasses import dataclass

UNKNOWN_INCARNATION = 0
"""Incarnation of a process that is not known; no process draws this number."""


@dataclass(frozen=True, slots=True)
class ProcessId:
    """One process of an instance: each start of the instance has an incarnation of its own."""

    instance_id: str
    incarnation: int = UNKNOWN_INCARNATION
