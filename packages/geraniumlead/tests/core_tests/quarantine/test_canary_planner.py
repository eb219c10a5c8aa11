"""Test which replicas an unproven query is sent to first."""

from unittest import TestCase

from core_tests.builders import build_upstream
from geraniumlead.configuration import ClusterView
from geraniumlead.documents import UpstreamListDocument
from geraniumlead.planning.query_plan import QueryPlan, ShardPlan
from geraniumlead.quarantine.canary_planner import CANARY_REPLICAS, CanaryPlanner

UPSTREAMS_BY_DATA_CENTRE = {"noord": (0, 1), "midden": (2, 3), "zuid": (4, 5)}


def choose(
    data_centre: str, fingerprint: int, homes: dict = UPSTREAMS_BY_DATA_CENTRE
) -> tuple[str, ...]:
    """Return the replicas that an instance in a data centre calls first."""
    lists = [
        UpstreamListDocument(
            data_centre=name, upstreams=[build_upstream(number) for number in numbers]
        )
        for name, numbers in homes.items()
    ]
    planner = CanaryPlanner(data_centre)
    planner.update(ClusterView.from_documents(lists))
    replicas = tuple(f"ledger-{number}" for numbers in homes.values() for number in numbers)
    plan = QueryPlan("ledger", 1, (ShardPlan(0, replicas),))
    return planner.plan_first_step(plan, fingerprint).plan.shards[0].replicas


class CanaryPlannerTests(TestCase):
    def test_one_replica_is_near_and_one_in_another_data_centre(self):
        """All upstreams of a data centre fail, and callers send new queries.

        With both replicas of the first step in the own data centre, every such query failed
        until the upstreams were back, although two other data centres held every shard.
        """
        for fingerprint in range(50):
            chosen = choose("noord", fingerprint)
            homes = [name for name in chosen if name in ("ledger-0", "ledger-1")]
            self.assertEqual((len(chosen), len(homes)), (CANARY_REPLICAS, 1))

    def test_all_data_centres_together_reach_one_upstream_of_each(self):
        for fingerprint in range(50):
            reached = {
                name for home in UPSTREAMS_BY_DATA_CENTRE for name in choose(home, fingerprint)
            }
            self.assertLessEqual(len(reached), len(UPSTREAMS_BY_DATA_CENTRE))

    def test_a_single_data_centre_gives_both(self):
        chosen = choose("noord", 7, {"noord": (0, 1, 2, 3)})
        self.assertEqual(len(set(chosen)), CANARY_REPLICAS)

    def test_canaries_spread_over_the_replicas(self):
        first = {choose("noord", fingerprint)[0] for fingerprint in range(50)}
        self.assertEqual(first, {"ledger-0", "ledger-1"})
