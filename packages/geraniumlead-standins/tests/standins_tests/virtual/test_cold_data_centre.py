"""Test that upstreams in cold start are not overloaded."""

from unittest import TestCase
from unittest.mock import patch

from geraniumlead.events import QueryArrived
from geraniumlead.requests import Answered, CallerRequest
from geraniumlead_standins.bench.policies import without_cold_start_guard, without_quarantine
from geraniumlead_standins.virtual.small_cluster import ClusterSize, SmallCluster

SIZE = ClusterSize(instances=3, shards=6)
COLD_ANSWERS = 20
START_MS = 2_000.0
RESTART_MS = 2_500.0
INTERVAL_MS = 10.0
BUSY_INTERVAL_MS = 3.0


class ColdRun:
    """Sends queries through all instances while every upstream restarts cold."""

    def __init__(self, seed: int) -> None:
        self.cluster = SmallCluster.from_size(SIZE, seed)
        self.run = self.cluster.run
        self.outcomes: list = []
        self.run.on_answer = lambda name, action, now_ms: self.outcomes.append(action.outcome)
        self.sent = 0

    def send_until(self, end_ms: float) -> None:
        """Send a query every ``INTERVAL_MS``, through the instances in turn."""
        names = list(self.run.instances)
        while self.run.now_ms < end_ms:
            now_ms = self.run.now_ms
            deadline_ms = now_ms + 200.0
            request = CallerRequest(
                f"r{self.sent}", "acme", "lookup", b"{}", now_ms, deadline_ms, 0.0
            )
            self.run.deliver(names[self.sent % len(names)], QueryArrived(request))
            self.sent += 1
            self.run.queue.run_until(now_ms + INTERVAL_MS)

    def restart_all(self) -> None:
        """Restart every upstream at once; each is cold for ``COLD_ANSWERS`` answers."""
        for upstream in self.run.upstreams.values():
            upstream.restart(COLD_ANSWERS)

    @property
    def fallen(self) -> int:
        """Return how often upstreams went down because of overload."""
        return sum(upstream.fallen for upstream in self.run.upstreams.values())


# To the quarantine, a restart of all upstreams looks like a query that crashes them. It is off
# here, as it would stop the load from which the cold upstreams must be protected.
@without_quarantine()
def run_restart(seed: int, after_restart=lambda cold_run: None) -> ColdRun:
    cold_run = ColdRun(seed)
    cold_run.run.queue.run_until(START_MS)
    cold_run.send_until(RESTART_MS)
    cold_run.restart_all()
    after_restart(cold_run)
    cold_run.send_until(RESTART_MS + 5_000.0)
    cold_run.run.queue.run_until(RESTART_MS + 6_000.0)
    return cold_run


class ColdDataCentreTests(TestCase):
    def test_no_upstream_falls_over_when_all_restart_cold(self):
        """All upstreams of the only data centre restart cold at once under load.

        Connections are reset, and callers continue at the same rate. Without the cold start
        guard, each instance sends its usual share to each upstream, which goes down from
        overload, comes back cold and goes down again.
        """
        for seed in range(1, 9):
            cold_run = run_restart(seed)
            with self.subTest(seed=seed):
                self.assertEqual(0, cold_run.fallen)
                self.assertEqual(cold_run.sent, len(cold_run.outcomes))
                left = [found.cold_answers_left for found in cold_run.run.upstreams.values()]
                self.assertEqual(0, sum(left), "every upstream got warm")
                last_outcomes = cold_run.outcomes[-100:]
                self.assertTrue(all(isinstance(outcome, Answered) for outcome in last_outcomes))

    def test_upstreams_fall_over_without_the_guard(self):
        # At the interval of the other tests, few upstreams have two calls at once.
        with (
            patch(f"{__name__}.INTERVAL_MS", BUSY_INTERVAL_MS),
            without_cold_start_guard(),
        ):
            self.assertGreater(run_restart(seed=1).fallen, 5)

    def test_no_upstream_falls_over_while_an_instance_is_isolated(self):
        """One instance loses the platform and its peers when all upstreams restart.

        It still reaches the upstreams and still has callers, but learns neither of cold
        upstreams from its peers nor of a new list.
        """

        def isolate(cold_run: ColdRun) -> None:
            names = set(cold_run.run.instances)
            isolated = {"noord-1"}
            cold_run.run.link.cut_between(isolated, names - isolated | {"platform"})

        for seed in range(1, 9):
            with self.subTest(seed=seed):
                self.assertEqual(0, run_restart(seed, isolate).fallen)

    def test_no_upstream_falls_over_when_an_instance_is_replaced(self):
        """A process is killed and restarted while all upstreams are cold.

        The new process has no state, and calls of the old one may still run.
        """

        def replace(cold_run: ColdRun) -> None:
            cold_run.run.kill("noord-0")
            cold_run.run.start_instance(cold_run.cluster.settings["noord-0"])

        for seed in range(1, 9):
            with self.subTest(seed=seed):
                self.assertEqual(0, run_restart(seed, replace).fallen)
