"""Test how news of crashing requests spreads, and what it costs."""

from random import Random
from unittest import TestCase

from geraniumlead.crashes import CrashGossip
from geraniumlead.crashes.crash_gossip import (
    FAR_PEERS_PER_REGION,
    MAX_NEWS_PER_ROUND,
    MAX_WAITING_NEWS,
    NEAR_PEERS_PER_ROUND,
    ROUND_MS,
    ROUNDS,
)
from geraniumlead.crashes.news import News


class CrashGossipTests(TestCase):
    def play(self, count: int) -> tuple[int, int]:
        """Spread one piece of news in three regions; return who heard and what crossed regions."""
        members = {str(number): CrashGossip(Random(number)) for number in range(count)}
        regions = {name: int(name) % 3 for name in members}
        members["0"].add(News(1, is_own=True))
        informed, crossed, now_ms = {"0"}, 0, 0.0
        for _ in range(10):
            for name in sorted(informed):
                near = [n for n in members if regions[n] == regions[name] and n != name]
                far = {r: [n for n in members if regions[n] == r] for r in range(3)}
                del far[regions[name]]
                for news_round in members[name].pop_rounds(near, far, now_ms):
                    self.assertEqual((1,), news_round.fingerprints)
                    for peer in news_round.peer_ids:
                        crossed += regions[peer] != regions[name]
                        if peer not in informed:
                            informed.add(peer)
                            members[peer].add(News(1, is_own=False))
            now_ms += ROUND_MS
        return len(informed), crossed

    def test_news_reaches_a_fleet_of_any_size_within_some_rounds(self):
        """Guards against the instance that is not among the first forty: all but 1 in 100 hear."""
        for count in (7, 62, 195, 1_000):
            with self.subTest(count=count):
                informed, _ = self.play(count)
                self.assertGreaterEqual(informed, count * 0.99)

    def test_news_crosses_regions_a_few_times_only(self):
        """Guards against news that costs more bytes between regions than callers' answers."""
        for count in (62, 195):
            with self.subTest(count=count):
                _, crossed = self.play(count)
                self.assertLessEqual(crossed, 2 * FAR_PEERS_PER_REGION)

    def test_the_first_round_is_sent_at_once_and_the_last_one_soon(self):
        gossip = CrashGossip(Random(1))
        gossip.add(News(1, is_own=True))
        times_ms = []
        while (due_ms := gossip.next_wake_ms()) < float("inf"):
            times_ms.append(max(0.0, due_ms))
            gossip.pop_rounds(["a", "b"], {}, times_ms[-1])
        self.assertEqual([number * ROUND_MS for number in range(ROUNDS)], times_ms)

    def test_a_flood_of_news_is_sent_bit_by_bit(self):
        """Guards against a flood of crashing requests that takes an instance's network."""
        gossip = CrashGossip(Random(1))
        for number in range(10_000):
            gossip.add(News(number, is_own=True))
        rounds, told_first = 0, ()
        while gossip.next_wake_ms() < float("inf"):
            near = [str(number) for number in range(50)]
            (news_round,) = gossip.pop_rounds(near, {}, rounds * ROUND_MS)
            self.assertLessEqual(len(news_round.peer_ids), NEAR_PEERS_PER_ROUND)
            self.assertLessEqual(len(news_round.fingerprints), MAX_NEWS_PER_ROUND)
            told_first = told_first or news_round.fingerprints
            rounds += 1
        self.assertEqual(9_999, told_first[0])
        self.assertLessEqual(rounds, ROUNDS * MAX_WAITING_NEWS)
