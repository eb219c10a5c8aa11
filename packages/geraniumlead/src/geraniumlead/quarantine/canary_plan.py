"""Define the first step of an unproven query."""

from dataclasses import dataclass

from geraniumlead.planning.query_plan import QueryPlan


@dataclass(slots=True, frozen=True)
class CanaryPlan:
    """Hold a plan whose shard at ``place`` is asked first, at few replicas."""

    plan: QueryPlan
    place: int
