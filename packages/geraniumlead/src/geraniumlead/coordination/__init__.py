"""Coordinate a query over its shards and merge one true answer."""

from geraniumlead.coordination.coordinator import QueryCoordinator
from geraniumlead.coordination.crash_guard import CrashGuard
from geraniumlead.coordination.steps import AskUpstream, CoordinationStep, DropCall, EndQuery

__all__ = [
    "AskUpstream",
    "CoordinationStep",
    "CrashGuard",
    "DropCall",
    "EndQuery",
    "QueryCoordinator",
]
