from dataclasses import dataclass

from geraniumlead.planning.query_plan import QueryPlan


@dataclass(slots=True, frozen=True)
class CanaryPlan:
    """The first step of an unproven query.

    The shard at ``position`` in ``plan`` is called first and has only a few replicas.
    """

    plan: QueryPlan
    position: int
