"""Coordinate a query over its shards and merge one true answer."""

from geraniumlead.coordination.coordinator import QueryCoordinator
from geraniumlead.coordination.steps import AskUpstream, CoordinationStep, DropCall, EndQuery

__all__ = ["AskUpstream", "CoordinationStep", "DropCall", "EndQuery", "QueryCoordinator"]
