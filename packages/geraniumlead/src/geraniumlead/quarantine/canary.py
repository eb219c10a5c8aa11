"""Choose where an unproven query goes first."""

from collections.abc import Collection

from geraniumlead.ownership.rendezvous import rank_by_rendezvous
from geraniumlead.planning.query_plan import QueryPlan

CANARY_REPLICAS = 2
"""As many as may crash before a fingerprint is quarantined."""


def choose_canary_shard(plan: QueryPlan, fingerprint: int) -> int:
    """Return the place in the plan of the shard that is asked first.

    It follows from the fingerprint, so all instances send the same query to the same shard.
    """
    held = [place for place, shard in enumerate(plan.shards) if shard.replicas]
    return held[fingerprint % len(held)] if held else 0


def choose_canary_replicas(
    replicas: tuple[str, ...], fingerprint: int, near: Collection[str]
) -> tuple[str, ...]:
    """Return the replicas that an unproven query may be sent to.

    The same two on every instance of a data centre: however many callers send a crashing
    query through however many instances at once, these two are all that it reaches. ``near``
    holds the upstreams of the own data centre, which are preferred.
    """
    candidates = [name for name in replicas if name in near] or list(replicas)
    return tuple(rank_by_rendezvous(str(fingerprint), candidates)[:CANARY_REPLICAS])
