"""Distribute a query over its shards and merge their answers into one outcome."""

from geraniumlead.coordination.coordinator import QueryCoordinator
from geraniumlead.coordination.crash_guard import CrashGuard
from geraniumlead.coordination.steps import CancelSubquery, CoordinationStep, EndQuery, SendSubquery

__all__ = [
    "CancelSubquery",
    "CoordinationStep",
    "CrashGuard",
    "EndQuery",
    "QueryCoordinator",
    "SendSubquery",
]
