"""Test queries from caller to upstream and back in virtual time."""

from unittest import TestCase

from geraniumlead.events import QueryArrived
from geraniumlead.requests import Answered, CallerRequest
from geraniumlead_standins.virtual.small_cluster import ClusterSize, SmallCluster


def run_queries(seed: int) -> list[tuple[str, object, float]]:
    cluster = SmallCluster.from_size(ClusterSize(instances=3), seed)
    answers: list[tuple[str, object, float]] = []
    cluster.run.on_answer = lambda name, action, now_ms: answers.append((name, action, now_ms))
    cluster.run.queue.run_until(1_000.0)
    for number in range(20):
        now_ms = cluster.run.now_ms
        request = CallerRequest(f"r{number}", "acme", "lookup", b"{}", now_ms, now_ms + 200.0, 1.0)
        cluster.run.deliver(f"noord-{number % 3}", QueryArrived(request))
        cluster.run.queue.run_until(now_ms + 10.0)
    cluster.run.queue.run_until(5_000.0)
    return answers


class VirtualRunTests(TestCase):
    def test_every_query_gets_one_whole_answer(self):
        answers = run_queries(seed=1)
        self.assertEqual(20, len(answers))
        for _, action, _ in answers:
            self.assertIsInstance(action.outcome, Answered)
            self.assertTrue(action.outcome.coverage.is_whole)

    def test_same_seed_gives_the_same_history(self):
        self.assertEqual(repr(run_queries(seed=2)), repr(run_queries(seed=2)))
