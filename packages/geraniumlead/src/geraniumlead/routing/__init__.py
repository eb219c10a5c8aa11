"""Choose a replica of a shard and the owner to send the subquery through."""

from geraniumlead.routing.router import Router
from geraniumlead.routing.subquery_route import SubqueryRoute

__all__ = ["Router", "SubqueryRoute"]
