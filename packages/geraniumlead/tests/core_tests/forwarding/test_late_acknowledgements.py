"""Test peers that acknowledge a shard group late, but do serve it."""

from unittest import TestCase

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_fan_out,
    build_record,
    build_updates,
)
from core_tests.forwarding.fleet_harness import HIGH, FleetHarness, address_of
from geraniumlead.forwarding import PossiblyExecuted
from geraniumlead.peering import DelegatedRequest

SHARDS = 96
INSTANCES = 7
ENTRY = address_of(1)
SLOW_MS = 120.0
LOW = bytes([1]) * 16


class LateAcknowledgementTests(TestCase):
    """Seven instances in one data centre whose messages may be slow."""

    def build(self, extra_slack: float, extra_share: float = 0.0) -> None:
        self.fleet = FleetHarness(
            ["noord-a"] * INSTANCES, extra_slack=extra_slack, extra_share=extra_share
        )
        route = build_fan_out(SHARDS, min_share=0.9)
        records = [
            build_record(f"{name}.{copy}", name) for name in route.services() for copy in (1, 2)
        ]
        self.fleet.publish(build_updates(build_configuration(route), *records))
        self.fleet.run_until(5_000.0)
        self.entry = self.fleet.members[ENTRY]

    def ask_slow_peers(self, key: int = 1) -> list:
        """Query the entry instance while all peers are slow; return the delegating messages."""
        messages = self.fleet.ask(ENTRY, key)
        self.fleet.slow_ms = {name: SLOW_MS for name in self.fleet.members if name != ENTRY}
        self.fleet.deliver()
        return [outgoing for outgoing in messages if isinstance(outgoing.message, DelegatedRequest)]

    def answer_peers(self) -> None:
        """Complete the attempts of all instances but the entry instance."""
        for address in self.fleet.members:
            if address != ENTRY:
                self.fleet.answer(address)

    def test_a_slow_peer_is_awaited_when_the_budget_is_empty(self):
        """All peers acknowledge late, and no extra attempt is allowed.

        If they were given up for their silence, the query would fail with most of its goal left,
        and the answers of its peers would be lost.
        """
        self.build(extra_slack=0.0)
        self.ask_slow_peers()
        self.answer_peers()
        self.fleet.answer(ENTRY)
        self.fleet.run_until(self.fleet.now_ms + 100.0)
        self.assertEqual({}, self.entry.replies)
        self.fleet.run_until(self.fleet.now_ms + 100.0)
        self.assertEqual(0, self.entry.replies[1].missing)

    def test_a_peer_may_be_late_beyond_the_goal_when_the_budget_is_empty(self):
        """An overloaded peer acknowledges late and replies after the goal.

        If it were given up at the goal, or for its late acknowledgement, the query would fail
        although the caller still waits for a second and the answer arrives in that time.
        """
        self.build(extra_slack=0.0)
        self.ask_slow_peers()
        for address in self.fleet.members:
            if address != ENTRY:
                self.fleet.slow_ms[address] = 400.0
        self.answer_peers()
        self.fleet.answer(ENTRY)
        self.fleet.run_until(self.fleet.now_ms + 390.0)
        self.assertEqual({}, self.entry.replies)
        self.fleet.run_until(self.fleet.now_ms + 20.0)
        self.assertEqual(0, self.entry.replies[1].missing)

    def test_a_peer_that_never_replies_is_given_up_while_the_caller_can_retry(self):
        """A peer is dead and the budget is empty: waiting until the end would be useless."""
        self.build(extra_slack=0.0)
        messages = self.ask_slow_peers()
        self.fleet.silent = {outgoing.address for outgoing in messages}
        self.fleet.answer(ENTRY)
        self.fleet.run_until(self.fleet.now_ms + 750.0)
        self.assertEqual(502, self.entry.replies[1].status)

    def test_late_acknowledgements_leave_budget_for_failed_subrequests(self):
        """Many queries in a row are delegated to slow peers.

        If a whole shard group were sent again, it would spend the budget that subrequests failing
        in the next ten seconds need.
        """
        self.build(extra_slack=70.0)
        for key in range(1, 12):
            self.fleet.slow_ms = {}
            self.ask_slow_peers(key)
            self.answer_peers()
            self.fleet.run_until(self.fleet.now_ms + 200.0)
            self.fleet.answer(ENTRY)
            self.fleet.run_until(self.fleet.now_ms + 200.0)
        budgets = self.entry.forwarder._runner._tracker.budgets
        for number in range(SHARDS):
            self.assertTrue(budgets.may_retry(f"shard-{number}", self.fleet.now_ms))

    def test_records_of_a_shard_queried_twice_appear_once(self):
        """A peer acknowledges late, a shard queried from here answers, then the peer replies.

        The peer's records contain those of this shard as well: merged with the answer from here,
        they would appear twice in the reply.
        """
        self.build(extra_slack=1_000.0)
        self.ask_slow_peers()
        self.fleet.run_until(self.fleet.now_ms + 60.0)
        self.assertGreater(self.entry.forwarder._runner._open[1].extra_attempts, 0)
        delegated = set()
        for address in self.fleet.members:
            if address != ENTRY:
                started = self.fleet.answer(address)
                delegated |= {attempt.upstream.service for attempt in started}
        hedges = [a for a in self.entry.started if a.upstream.service in delegated]
        self.entry.end(hedges[0], build_answer(LOW, signature="beside"))
        self.fleet.run_until(self.fleet.now_ms + SLOW_MS + 10.0)
        own = [a for a in self.entry.started if a.upstream.service not in delegated]
        for attempt in own:
            self.entry.end(attempt, build_answer(LOW, signature=attempt.upstream.service))
        reply = self.entry.replies[1]
        self.assertEqual(0, reply.missing)
        self.assertNotIn("beside", reply.signatures)
        self.assertEqual(SHARDS, len(set(reply.signatures)))
        self.assertEqual(3 * HIGH, reply.records)
        cancelled = {attempt.attempt_id for attempt in hedges[1:]}
        self.assertLessEqual(cancelled, set(self.entry.cancelled))

    def test_a_peer_does_not_retry_shards_that_the_sender_queries_too(self):
        """A route allows two upstreams; the peer has tried one and the entry instance the other.

        A retry by the peer would reach a third.
        """
        self.build(extra_slack=1_000.0)
        messages = self.ask_slow_peers()
        self.fleet.run_until(self.fleet.now_ms + 60.0)
        peer = self.fleet.members[messages[0].address]
        before = len(peer.started)
        for attempt in list(peer.started):
            peer.end(attempt, PossiblyExecuted("reset"))
        self.fleet.run_until(self.fleet.now_ms + 80.0)
        self.assertEqual(before, len(peer.started))

    def test_an_acknowledgement_after_its_query_shows_that_the_peer_is_alive(self):
        """A slow peer's acknowledgement arrives after its query, long before its next hello.

        If it were ignored, the peer's shard groups would go to others until the hello, over cold
        connections.
        """
        self.build(extra_slack=1_000.0)
        messages = self.ask_slow_peers()
        self.fleet.run_until(self.fleet.now_ms + 60.0)
        self.entry.leave(1)
        self.entry.outgoing.clear()
        self.fleet.run_until(self.fleet.now_ms + SLOW_MS)
        self.fleet.slow_ms = {}
        again: set[str] = set()
        for key in range(2, 12):
            again |= {outgoing.address for outgoing in self.fleet.ask(ENTRY, key)}
            self.entry.leave(key)
        self.assertLessEqual({outgoing.address for outgoing in messages}, again)

    def test_acknowledgements_that_are_always_late_are_awaited(self):
        """The whole fleet is slow, and each acknowledgement takes some sixty milliseconds.

        With the timeout of a fast fleet, every shard group would be queried twice.
        """
        self.build(extra_slack=1_000.0)
        for key in range(1, 9):
            self.fleet.slow_ms = {}
            self.fleet.ask(ENTRY, key)
            self.fleet.slow_ms = {name: 60.0 for name in self.fleet.members if name != ENTRY}
            self.fleet.deliver()
            self.fleet.run_until(self.fleet.now_ms + 65.0)
            self.answer_peers()
            self.fleet.answer(ENTRY)
            self.fleet.run_until(self.fleet.now_ms + 200.0)
        self.fleet.slow_ms = {}
        messages = self.fleet.ask(ENTRY, 99)
        delegations = [
            outgoing for outgoing in messages if isinstance(outgoing.message, DelegatedRequest)
        ]
        self.assertGreaterEqual(len(delegations), 1)
        self.fleet.slow_ms = {name: 60.0 for name in self.fleet.members if name != ENTRY}
        self.fleet.deliver()
        self.fleet.run_until(self.fleet.now_ms + 55.0)
        self.assertEqual(0, self.entry.forwarder._runner._open[99].extra_attempts)
