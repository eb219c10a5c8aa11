"""Test queries over so many shards that peers beside the upstreams ask blocks of them."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_configuration,
    build_fan_out,
    build_record,
    build_updates,
)
from core_tests.forwarding.fleet_harness import FleetHarness, address_of
from geraniumlead.forwarding.aggregator_chooser import GATHERERS
from geraniumlead.forwarding.delegation_plan import BLOCK_SHARDS
from geraniumlead.peering import DelegatedRequest

SHARDS = 96
INSTANCES = 7
ENTRY = address_of(1)


class BlockTests(TestCase):
    """Hold seven instances of one data centre, beside the upstreams of 96 shards."""

    def setUp(self):
        self.fleet = FleetHarness(["noord-a"] * INSTANCES)
        route = build_fan_out(SHARDS, least_share=0.9)
        records = [build_record(f"{name}.1", name) for name in route.services()]
        self.fleet.publish(build_updates(build_configuration(route), *records))
        self.fleet.run_until(5_000.0)

    def ask(self, address: str, key: int) -> list:
        """Ask one instance; return the letters with blocks."""
        letters = self.fleet.ask(address, key)
        return [letter for letter in letters if isinstance(letter.message, DelegatedRequest)]

    def test_a_large_query_is_shared_out_and_comes_back_whole(self):
        letters = self.ask(ENTRY, 1)
        self.assertLessEqual(len(letters), SHARDS // BLOCK_SHARDS)
        self.assertGreaterEqual(len(letters), 1)
        self.fleet.deliver()
        self.assertEqual(SHARDS, sum(self.fleet.started().values()))
        self.fleet.answer_all()
        reply = self.fleet.members[ENTRY].replies[1]
        self.assertEqual(0, reply.missing)
        self.assertEqual(SHARDS, len(set(reply.signatures)))

    def test_few_instances_meet_one_upstream_whoever_is_asked(self):
        """Each instance in turn gets a query.

        Asked by all of them, every upstream had a connection from each, mostly cold, and every
        instance found out each pause by itself.
        """
        asked: set[str] = set()
        for key, address in enumerate(self.fleet.members, start=1):
            self.ask(address, key)
            self.fleet.deliver()
            asked |= self.fleet.askers()["shard-0.1"]
            self.fleet.answer_all()
            self.fleet.run_until(self.fleet.now_ms + 50.0)
        self.assertLessEqual(len(asked), GATHERERS)

    def test_the_block_of_a_silent_peer_is_asked_from_here_before_the_goal(self):
        """A peer freezes, and its blocks stay out without a word."""
        letters = self.ask(ENTRY, 1)
        self.fleet.silent = {letters[0].address}
        lost = set(letters[0].message.shards)
        self.fleet.deliver()
        self.fleet.run_until(self.fleet.now_ms + 60.0)
        entry = self.fleet.members[ENTRY]
        services = {attempt.upstream.service for attempt in entry.started}
        self.assertLessEqual(lost, services)
        self.fleet.answer_all()
        self.assertEqual(0, entry.replies[1].missing)

    def test_the_next_in_rank_gathers_for_one_that_is_silent(self):
        """A peer froze, and the next query comes.

        Its blocks were then asked by every instance itself, over cold connections.
        """
        letters = self.ask(ENTRY, 1)
        frozen = letters[0].address
        self.fleet.silent = {frozen}
        self.fleet.run_until(self.fleet.now_ms + 60.0)
        self.fleet.answer_all()
        letters = self.ask(ENTRY, 2)
        self.assertGreaterEqual(len(letters), 1)
        self.assertNotIn(frozen, {letter.address for letter in letters})

    def test_a_query_over_few_shards_stays_here(self):
        """Below some forty shards a hop costs callers more than it spares this instance."""
        route = build_fan_out(30)
        records = [build_record(f"{name}.2", name) for name in route.services()]
        self.fleet.publish(build_updates(build_configuration(route, version=2), *records))
        self.assertEqual([], self.ask(ENTRY, 1))
