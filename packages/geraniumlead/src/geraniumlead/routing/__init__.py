"""Choose the replica of a shard and the owner through which it is reached."""

from geraniumlead.routing.route import Route
from geraniumlead.routing.router import Router

__all__ = ["Route", "Router"]
