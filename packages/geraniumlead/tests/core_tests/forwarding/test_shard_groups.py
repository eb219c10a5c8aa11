"""Test queries over many shards, which peers in the upstreams' data centre query in groups."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_configuration,
    build_fan_out,
    build_record,
    build_updates,
)
from core_tests.forwarding.fleet_harness import FleetHarness, address_of
from geraniumlead.forwarding.aggregator_chooser import MAX_AGGREGATORS
from geraniumlead.forwarding.delegation_planner import SHARD_GROUP_SIZE
from geraniumlead.peering import DelegatedRequest

SHARDS = 96
INSTANCES = 7
ENTRY = address_of(1)


class ShardGroupTests(TestCase):
    """Seven instances in one data centre, which also has the upstreams of 96 shards."""

    def setUp(self):
        self.fleet = FleetHarness(["noord-a"] * INSTANCES)
        route = build_fan_out(SHARDS, min_share=0.9)
        records = [build_record(f"{name}.1", name) for name in route.services()]
        self.fleet.publish(build_updates(build_configuration(route), *records))
        self.fleet.run_until(5_000.0)

    def ask(self, address: str, key: int) -> list:
        """Send a query to one instance; return its messages that delegate shard groups."""
        messages = self.fleet.ask(address, key)
        return [outgoing for outgoing in messages if isinstance(outgoing.message, DelegatedRequest)]

    def test_a_large_query_is_delegated_and_the_reply_is_complete(self):
        messages = self.ask(ENTRY, 1)
        self.assertLessEqual(len(messages), SHARDS // SHARD_GROUP_SIZE)
        self.assertGreaterEqual(len(messages), 1)
        self.fleet.deliver()
        self.assertEqual(SHARDS, sum(self.fleet.started().values()))
        self.fleet.answer_all()
        reply = self.fleet.members[ENTRY].replies[1]
        self.assertEqual(0, reply.missing)
        self.assertEqual(SHARDS, len(set(reply.signatures)))

    def test_few_instances_connect_to_one_upstream(self):
        """Each instance in turn gets a query.

        If all of them sent subrequests to every upstream, it would have a connection from each,
        mostly cold, and every instance would run into each pause separately.
        """
        asked: set[str] = set()
        for key, address in enumerate(self.fleet.members, start=1):
            self.ask(address, key)
            self.fleet.deliver()
            asked |= self.fleet.instances_by_upstream()["shard-0.1"]
            self.fleet.answer_all()
            self.fleet.run_until(self.fleet.now_ms + 50.0)
        self.assertLessEqual(len(asked), MAX_AGGREGATORS)

    def test_the_group_of_a_silent_peer_is_queried_from_here_before_the_goal(self):
        """A peer freezes and acknowledges none of the shard groups delegated to it."""
        messages = self.ask(ENTRY, 1)
        self.fleet.silent = {messages[0].address}
        lost = set(messages[0].message.shards)
        self.fleet.deliver()
        self.fleet.run_until(self.fleet.now_ms + 60.0)
        entry = self.fleet.members[ENTRY]
        services = {attempt.upstream.service for attempt in entry.started}
        self.assertLessEqual(lost, services)
        self.fleet.answer_all()
        self.assertEqual(0, entry.replies[1].missing)

    def test_the_next_ranked_peer_replaces_a_silent_aggregator(self):
        """A peer freezes, and the next query arrives.

        If no other peer took over its shard groups, every instance would query them itself, over
        cold connections.
        """
        messages = self.ask(ENTRY, 1)
        frozen = messages[0].address
        self.fleet.silent = {frozen}
        self.fleet.run_until(self.fleet.now_ms + 60.0)
        self.fleet.answer_all()
        messages = self.ask(ENTRY, 2)
        self.assertGreaterEqual(len(messages), 1)
        self.assertNotIn(frozen, {outgoing.address for outgoing in messages})

    def test_a_query_over_few_shards_is_not_delegated(self):
        """Below about forty shards a hop costs callers more than it saves this instance."""
        route = build_fan_out(30)
        records = [build_record(f"{name}.2", name) for name in route.services()]
        self.fleet.publish(build_updates(build_configuration(route, version=2), *records))
        self.assertEqual([], self.ask(ENTRY, 1))
