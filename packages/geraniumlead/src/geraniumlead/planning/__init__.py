"""Turn a request into the subqueries of one index version."""

from geraniumlead.planning.plan_query import plan_query
from geraniumlead.planning.query_plan import QueryPlan, ShardPlan

__all__ = ["QueryPlan", "ShardPlan", "plan_query"]
