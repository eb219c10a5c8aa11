"""Test that nothing of one process of an instance is taken for that of another one."""

from unittest import TestCase

from core_tests.forwarding.restarting_fleet import RestartingFleet, play_restarts

RESTARTS = 8
MAX_DELAY_MS = 400.0
SEEDS = (1, 2, 3)


class RestartedFleets(TestCase):
    """Instances restart while their queries are at peers, and give the same numbers again."""

    def play(self, instances: int, seed: int, queries_per_s: float, restarted: int) -> None:
        fleet = RestartingFleet(instances, seed)
        fleet.disturb_messages(MAX_DELAY_MS)
        play_restarts(fleet, RESTARTS, queries_per_s, restarted)
        self.assertEqual([], fleet.wrong)
        self.assertEqual([], fleet.wasted)
        self.assertGreater(fleet.answered, len(fleet.queries) / 4)

    def test_two_instances_get_no_data_of_another_process(self):
        """Guards against a late reply that is taken for the reply to a new process's request."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(2, seed, 25.0, restarted=1)

    def test_seven_instances_get_no_data_of_another_process(self):
        """Guards against a late reply that is taken for the reply to a new process's request."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(7, seed, 40.0, restarted=3)

    def test_eighteen_instances_get_no_data_of_another_process(self):
        """Guards against a late reply that is taken for the reply to a new process's request."""
        self.play(18, 1, 50.0, restarted=5)

    def test_a_large_fleet_gets_no_data_of_another_process(self):
        """Guards against a late reply that is taken for the reply to a new process's request."""
        self.play(85, 1, 50.0, restarted=8)
