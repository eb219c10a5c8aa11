"""Test how news of crashing requests spreads, and what it costs."""

from random import Random
from unittest import TestCase

from geraniumlead.crashes import CrashGossip
from geraniumlead.crashes.crash_gossip import (
    MAX_NEWS_PER_ROUND,
    MAX_WAITING_NEWS,
    PEERS_PER_ROUND,
    ROUND_MS,
    ROUNDS,
)


class CrashGossipTests(TestCase):
    def test_news_reaches_a_fleet_of_any_size_within_some_rounds(self):
        """Guards against the instance that is not among the first forty: all but 1 in 500 hear."""
        for count in (7, 195, 2_500):
            with self.subTest(count=count):
                names = [str(number) for number in range(count)]
                members = {name: CrashGossip(Random(int(name))) for name in names}
                members["0"].add(1)
                informed, now_ms = {"0"}, 0.0
                for _ in range(10):
                    for name in sorted(informed):
                        peers, told = members[name].pop_round(
                            [other for other in names if other != name], now_ms
                        )
                        for peer in peers if told else ():
                            if peer not in informed:
                                informed.add(peer)
                                members[peer].add(1)
                    now_ms += ROUND_MS
                self.assertGreaterEqual(len(informed), count * 0.998)

    def test_the_first_round_is_sent_at_once_and_the_last_one_soon(self):
        gossip = CrashGossip(Random(1))
        gossip.add(1)
        times_ms = []
        while (due_ms := gossip.next_wake_ms()) < float("inf"):
            times_ms.append(max(0.0, due_ms))
            gossip.pop_round(["a", "b"], times_ms[-1])
        self.assertEqual([number * ROUND_MS for number in range(ROUNDS)], times_ms)

    def test_a_flood_of_news_is_sent_bit_by_bit(self):
        """Guards against a flood of crashing requests that takes an instance's network."""
        gossip = CrashGossip(Random(1))
        for number in range(10_000):
            gossip.add(number)
        rounds, told_first = 0, []
        while gossip.next_wake_ms() < float("inf"):
            peers, told = gossip.pop_round([str(n) for n in range(50)], rounds * ROUND_MS)
            self.assertLessEqual(len(peers), PEERS_PER_ROUND)
            self.assertLessEqual(len(told), MAX_NEWS_PER_ROUND)
            told_first = told_first or told
            rounds += 1
        self.assertEqual(9_999, told_first[0])
        self.assertLessEqual(rounds, ROUNDS * MAX_WAITING_NEWS)
