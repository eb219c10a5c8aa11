"""Test peers that are slow to say that they serve a block, but do serve it."""

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


class LateWordTests(TestCase):
    """Hold seven instances of one data centre whose messages may take long."""

    def build(self, extra_slack: float, extra_share: float = 0.0) -> None:
        self.fleet = FleetHarness(
            ["noord-a"] * INSTANCES, extra_slack=extra_slack, extra_share=extra_share
        )
        route = build_fan_out(SHARDS, least_share=0.9)
        records = [
            build_record(f"{name}.{copy}", name) for name in route.services() for copy in (1, 2)
        ]
        self.fleet.publish(build_updates(build_configuration(route), *records))
        self.fleet.run_until(5_000.0)
        self.entry = self.fleet.members[ENTRY]

    def ask_slow_peers(self, key: int = 1) -> list:
        """Ask the entry instance while all that peers send comes late; return the letters."""
        letters = self.fleet.ask(ENTRY, key)
        self.fleet.slow_ms = {name: SLOW_MS for name in self.fleet.members if name != ENTRY}
        self.fleet.deliver()
        return [letter for letter in letters if isinstance(letter.message, DelegatedRequest)]

    def answer_peers(self) -> None:
        """Let the attempts of all but the entry instance succeed."""
        for address in self.fleet.members:
            if address != ENTRY:
                self.fleet.answer(address)

    def test_a_slow_peer_brings_its_block_when_the_budget_is_empty(self):
        """All peers are slow to say that they serve, and no second sending is allowed.

        Given up for its silence, the query failed with most of its goal left, and the answers of
        its peers came to nobody.
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
        """An overloaded peer says its word and brings its block after the goal.

        Given up at the goal, or by its late word, the query failed with a second left in which
        its caller would have had the answer.
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

    def test_a_peer_that_never_replies_is_given_up_while_its_caller_can_ask_again(self):
        """A peer is dead and the budget empty: there is nothing to wait for till the end."""
        self.build(extra_slack=0.0)
        letters = self.ask_slow_peers()
        self.fleet.silent = {letter.address for letter in letters}
        self.fleet.answer(ENTRY)
        self.fleet.run_until(self.fleet.now_ms + 750.0)
        self.assertEqual(502, self.entry.replies[1].status)

    def test_late_words_leave_the_budget_of_failed_parts(self):
        """Query after query finds slow peers.

        Asked again as a whole, one block spent what the parts that fail in the next ten seconds
        need.
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

    def test_a_block_that_comes_beside_a_second_asking_counts_once(self):
        """A peer's word is late, a shard is asked from here and answers, then the block comes.

        The block's records hold that shard's as well: merged with the answer from here, they
        would appear twice in the reply.
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
        beside = [a for a in self.entry.started if a.upstream.service in delegated]
        self.entry.end(beside[0], build_answer(LOW, signature="beside"))
        self.fleet.run_until(self.fleet.now_ms + SLOW_MS + 10.0)
        own = [a for a in self.entry.started if a.upstream.service not in delegated]
        for attempt in own:
            self.entry.end(attempt, build_answer(LOW, signature=attempt.upstream.service))
        reply = self.entry.replies[1]
        self.assertEqual(0, reply.missing)
        self.assertNotIn("beside", reply.signatures)
        self.assertEqual(SHARDS, len(set(reply.signatures)))
        self.assertEqual(3 * HIGH, reply.records)
        cancelled = {attempt.attempt_id for attempt in beside[1:]}
        self.assertLessEqual(cancelled, set(self.entry.cancelled))

    def test_a_peer_sends_nothing_again_that_is_asked_elsewhere_too(self):
        """A route allows two upstreams; the peer has asked one and the entry instance the other.

        A second sending of the peer would reach a third.
        """
        self.build(extra_slack=1_000.0)
        letters = self.ask_slow_peers()
        self.fleet.run_until(self.fleet.now_ms + 60.0)
        peer = self.fleet.members[letters[0].address]
        before = len(peer.started)
        for attempt in list(peer.started):
            peer.end(attempt, PossiblyExecuted("reset"))
        self.fleet.run_until(self.fleet.now_ms + 80.0)
        self.assertEqual(before, len(peer.started))

    def test_a_word_that_comes_after_its_query_proves_that_the_peer_lives(self):
        """A slow peer answers when its query has ended, and its next hello is far away.

        Its blocks went to others until then, over cold connections.
        """
        self.build(extra_slack=1_000.0)
        letters = self.ask_slow_peers()
        self.fleet.run_until(self.fleet.now_ms + 60.0)
        self.entry.leave(1)
        self.entry.outgoing.clear()
        self.fleet.run_until(self.fleet.now_ms + SLOW_MS)
        self.fleet.slow_ms = {}
        again: set[str] = set()
        for key in range(2, 12):
            again |= {letter.address for letter in self.fleet.ask(ENTRY, key)}
            self.entry.leave(key)
        self.assertLessEqual({letter.address for letter in letters}, again)

    def test_words_that_are_usually_late_are_waited_for(self):
        """The whole fleet is slow, and each word takes some sixty milliseconds.

        Waited for as if the fleet were quick, every block would be asked twice.
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
        letters = self.fleet.ask(ENTRY, 99)
        blocks = [letter for letter in letters if isinstance(letter.message, DelegatedRequest)]
        self.assertGreaterEqual(len(blocks), 1)
        self.fleet.slow_ms = {name: 60.0 for name in self.fleet.members if name != ENTRY}
        self.fleet.deliver()
        self.fleet.run_until(self.fleet.now_ms + 55.0)
        self.assertEqual(0, self.entry.forwarder._runner._open[99].extra_attempts)
