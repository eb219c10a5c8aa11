"""Choose a replica of a shard and the owner to send the subquery through."""

from geraniumlead.routing.route import Route
from geraniumlead.routing.router import Router

__all__ = ["Route", "Router"]
