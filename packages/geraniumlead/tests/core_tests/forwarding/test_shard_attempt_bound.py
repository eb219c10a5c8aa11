"""Test that all instances together send a request to no more upstreams of a shard than allowed."""

from random import Random
from unittest import TestCase

from core_tests.forwarding.shard_attempt_fleet import ShardAttemptFleet

FORMS = ((3, 2), (5, 2), (5, 3))
"""Upstreams of a shard, and how many of them a request may reach."""


class ShardAttemptBoundTests(TestCase):
    def check(self, fleet: ShardAttemptFleet) -> None:
        self.assertGreater(fleet.shared_shards(), 0)
        self.assertEqual([], fleet.requests_over())

    def test_busy_instances_keep_the_limit_of_upstreams(self):
        """Guards against two instances that each send a shard to as many as the route allows.

        A peer that reads its messages late makes its second attempts before it reads that the
        instance that delegated the shards has made them.
        """
        for upstreams, allowed in FORMS:
            with self.subTest(upstreams=upstreams, allowed=allowed):
                fleet = ShardAttemptFleet(1, upstreams, allowed)
                fleet.slow_down_some(0.4)
                for address in fleet.choose_instances(0.5):
                    fleet.fleet.unread_ms[address] = 150.0
                fleet.run_for(5_000.0)
                self.check(fleet)

    def test_frozen_instances_keep_the_limit_of_upstreams(self):
        """Guards against a peer that goes on with what was taken back while it stood still."""
        for upstreams, allowed in FORMS:
            with self.subTest(upstreams=upstreams, allowed=allowed):
                fleet = ShardAttemptFleet(2, upstreams, allowed)
                fleet.slow_down_some(0.4)
                for freeze_ms in (150.0, 600.0, 300.0, 1_200.0, 100.0):
                    fleet.fleet.frozen = set(fleet.choose_instances(0.3))
                    fleet.run_for(freeze_ms)
                    fleet.fleet.thaw()
                    fleet.run_for(600.0)
                self.check(fleet)

    def test_lost_late_and_repeated_messages_keep_the_limit_of_upstreams(self):
        """Guards against a limit that holds only if both instances get each other's messages."""
        for upstreams, allowed in FORMS:
            with self.subTest(upstreams=upstreams, allowed=allowed):
                fleet = ShardAttemptFleet(3, upstreams, allowed)
                fleet.slow_down_some(0.4)
                fleet.lost_share = 0.1
                fleet.fleet.disorder = Random(3)
                fleet.fleet.max_delay_ms = 120.0
                for _ in range(6):
                    fleet.fleet.silent = set(fleet.choose_instances(0.2))
                    fleet.run_for(300.0)
                    fleet.fleet.silent = set()
                    fleet.run_for(500.0)
                self.check(fleet)

    def test_restarted_instances_and_upstreams_that_are_down_keep_the_limit(self):
        """Guards against attempts of a process that has ended, and free ones after a refusal."""
        for upstreams, allowed in FORMS:
            with self.subTest(upstreams=upstreams, allowed=allowed):
                fleet = ShardAttemptFleet(4, upstreams, allowed)
                fleet.slow_down_some(0.3)
                fleet.lost_share = 0.05
                for address in fleet.choose_instances(0.4):
                    fleet.fleet.unread_ms[address] = 120.0
                for seed in range(5):
                    fleet.down = set(fleet.random.sample(fleet.upstream_ids, 20))
                    for address in fleet.choose_instances(0.1):
                        fleet.fleet.restart(address, 100 + seed).handle(fleet.updates)
                    fleet.run_for(1_000.0)
                self.check(fleet)
