"""Test that the extra attempts of all instances stay within the bound, whatever restarts."""

from dataclasses import replace
from unittest import TestCase

from core_tests.forwarding.extra_attempt_fleet import ExtraAttemptFleet


class ExtraAttemptBoundTests(TestCase):
    def build(self, instances: int, seed: int = 1) -> ExtraAttemptFleet:
        fleet = ExtraAttemptFleet(instances, seed)
        fleet.run_for(2_000.0)
        fleet.is_slow = True
        return fleet

    def check(self, fleet: ExtraAttemptFleet) -> None:
        used, text = fleet.worst_use()
        self.assertGreater(used, 0.0, text)
        self.assertLessEqual(used, 1.0, text)

    def play_power_losses(self, instances: int, seed: int = 1) -> None:
        fleet = self.build(instances, seed)
        fleet.run_for(1_000.0)
        for _ in range(3):
            fleet.restart(fleet.addresses)
            fleet.run_for(4_000.0)
        self.check(fleet)

    def test_fleets_that_lose_power_in_series_stay_within_the_bound(self):
        """Guards against a restart that gives an instance its whole budget again."""
        for instances in (7, 18, 73):
            with self.subTest(instances=instances):
                self.play_power_losses(instances)

    def test_a_changed_settings_file_does_not_renew_the_budgets(self):
        """Guards against changes of seeds that each give all instances their budgets anew."""
        fleet = self.build(18)
        for number in range(10):
            for member in fleet.fleet.members.values():
                seeds = (fleet.addresses[number],)
                settings = replace(member.forwarder._settings, seeds=seeds)
                member.forwarder.apply_settings(settings, fleet.fleet.now_ms)
            fleet.run_for(1_000.0)
        self.check(fleet)
