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

    def test_restarts_one_by_one_and_of_a_part_stay_within_the_bound(self):
        """Guards against rolling restarts and crash loops that add budgets to those of the rest."""
        for part, gap_ms in ((1, 250.0), (3, 1_000.0), (9, 3_000.0)):
            with self.subTest(part=part):
                fleet = self.build(18)
                end_ms = fleet.fleet.now_ms + 12_000.0
                while fleet.fleet.now_ms < end_ms:
                    fleet.restart(fleet.random.sample(fleet.addresses, part))
                    fleet.run_for(gap_ms)
                self.check(fleet)

    def test_much_traffic_before_a_power_loss_is_not_spent_twice(self):
        """Guards against a share of the requests that both processes of an instance use up."""
        fleet = ExtraAttemptFleet(7, 1, queries_per_s=250.0)
        fleet.run_for(10_000.0)
        fleet.is_slow = True
        fleet.run_for(6_000.0)
        fleet.restart(fleet.addresses)
        fleet.run_for(6_000.0)
        self.check(fleet)

    def test_instances_that_start_cut_off_stay_within_the_bound(self):
        """Guards against instances that each take themselves for the whole fleet."""
        fleet = self.build(18)
        cut_off = fleet.addresses[6:]
        fleet.fleet.silent.update(cut_off)
        fleet.restart(cut_off)
        fleet.run_for(16_000.0)
        self.check(fleet)

    def test_frozen_instances_that_go_on_stay_within_the_bound(self):
        """Guards against instances that stood still and go on with the requests of before."""
        fleet = self.build(18)
        fleet.run_for(3_000.0)
        frozen = {address: fleet.fleet.members.pop(address) for address in fleet.addresses[:9]}
        fleet.fleet.silent.update(frozen)
        fleet.addresses = fleet.addresses[9:]
        fleet.run_for(3_000.0)
        fleet.fleet.members.update(frozen)
        fleet.fleet.silent.clear()
        fleet.addresses += frozen
        fleet.run_for(8_000.0)
        self.check(fleet)

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
