"""Test that an instance stays within its part of the bound while its processes come and go."""

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import replace
from random import Random
from unittest import TestCase

from core_tests.forwarding.builders import build_settings
from geraniumlead.forwarding.extra_attempt_allowance import STARTING_SLACK_PART
from geraniumlead.forwarding.extra_attempt_budgets import ExtraAttemptBudgets
from geraniumlead.forwarding.extra_attempt_cause import ExtraAttemptCause
from geraniumlead.settings.forwarding_settings import ForwardingSettings

SERVICE = "shard"
WINDOW_MS = 10_000.0
STEP_MS = 50.0
FAR_PAST_MS = -60_000.0


def build_limits(**changes) -> ForwardingSettings:
    values = {"extra_share": 0.2, "extra_slack": 100.0, "extra_window_ms": WINDOW_MS}
    return build_settings(**(values | changes))


class Instance:
    """An instance that sends each extra attempt that it may, and restarts on request."""

    def __init__(
        self, settings: ForwardingSettings, instances: int = 1, name: str = "entry-1"
    ) -> None:
        self.settings = replace(settings, instance_id=name)
        self.instances = instances
        self.now_ms = 0.0
        self.firsts_ms: list[float] = []
        self.extras_ms: list[float] = []
        self.budgets = self.start(FAR_PAST_MS)

    def start(self, now_ms: float) -> ExtraAttemptBudgets:
        self.budgets = ExtraAttemptBudgets(self.settings, now_ms)
        self.budgets.set_instances(self.instances, True)
        return self.budgets

    def run_until(self, until_ms: float, firsts_per_s: float, spends: bool = True) -> None:
        every_ms = 1_000.0 / firsts_per_s if firsts_per_s else float("inf")
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            while len(self.firsts_ms) * every_ms < self.now_ms:
                self.firsts_ms.append(self.now_ms)
                self.budgets.record_first(SERVICE, self.now_ms)
            while spends and self.budgets.may_retry(SERVICE, self.now_ms):
                self.extras_ms.append(self.now_ms)
                self.budgets.record_extra(SERVICE, ExtraAttemptCause.FAILED, self.now_ms)


def worst_use(settings: ForwardingSettings, instances: Sequence[Instance]) -> float:
    """Return the largest part of the bound that all instances used together in any window."""
    firsts_ms = sorted(at_ms for instance in instances for at_ms in instance.firsts_ms)
    extras_ms = sorted(at_ms for instance in instances for at_ms in instance.extras_ms)
    worst = 0.0
    for end_ms in extras_ms:
        sent = _count_in_window(extras_ms, end_ms)
        ends_ms = (end_ms, end_ms - WINDOW_MS / 2.0, end_ms - WINDOW_MS)
        firsts = max(_count_in_window(firsts_ms, window_end_ms) for window_end_ms in ends_ms)
        worst = max(worst, sent / (settings.extra_share * firsts + settings.extra_slack))
    return worst


def _count_in_window(times_ms: Sequence[float], end_ms: float) -> int:
    return bisect_right(times_ms, end_ms) - bisect_right(times_ms, end_ms - WINDOW_MS)


class ExtraAttemptAllowanceTests(TestCase):
    def test_restarts_at_any_time_stay_within_the_bound(self):
        """Guards against processes of one instance that each spend what the last one has spent."""
        for instances in (1, 7, 73, 195):
            self.check_restarts(instances)

    def test_restarts_of_eighteen_instances_stay_within_the_bound(self):
        """Guards against a starting part that is rounded up at each restart of an instance."""
        self.check_restarts(18)

    def check_restarts(self, instances: int) -> None:
        for seed in range(8):
            with self.subTest(instances=instances, seed=seed):
                settings = build_limits(extra_slack=186.0)
                fleet = self.play_restarts(settings, instances, Random(seed))
                self.assertLessEqual(worst_use(settings, fleet), 1.0)

    def play_restarts(
        self, settings: ForwardingSettings, instances: int, random: Random
    ) -> list[Instance]:
        """Let instances restart in series, each at its own times, and spend all that they may."""
        rate = random.choice([0.0, 50.0, 300.0]) / instances
        gap_ms = random.choice([700.0, 3_000.0, 9_000.0])
        spends_from_ms = random.uniform(11_000.0, 20_000.0)
        fleet = []
        for number in range(instances):
            instance = Instance(settings, instances, f"entry-{number}")
            instance.run_until(spends_from_ms, rate, spends=False)
            while instance.now_ms < spends_from_ms + 12_000.0:
                instance.run_until(instance.now_ms + random.expovariate(1.0 / gap_ms), rate)
                instance.start(instance.now_ms)
            instance.run_until(spends_from_ms + 26_000.0, rate)
            fleet.append(instance)
        return fleet

    def test_a_fleet_that_spent_all_before_it_lost_power_does_not_spend_it_again(self):
        """Guards against a power loss in an outage that doubles the load of a service."""
        settings = build_limits(extra_slack=186.0)
        for instances in (7, 18, 73, 195):
            fleet = []
            for number in range(instances):
                instance = Instance(settings, instances, f"entry-{number}")
                rate = 50.0 / instances
                instance.run_until(12_000.0, rate, spends=False)
                instance.run_until(12_100.0, rate)
                instance.start(instance.now_ms)
                instance.run_until(24_000.0, rate)
                fleet.append(instance)
            with self.subTest(instances=instances):
                self.assertLessEqual(worst_use(settings, fleet), 1.0)

    def test_some_instances_of_a_large_fleet_that_starts_may_send_again(self):
        """Guards against a fleet whose parts are each less than one attempt."""
        settings = build_limits(extra_slack=186.0)
        fleet = [Instance(settings, 73, f"entry-{number}") for number in range(73)]
        for instance in fleet:
            instance.start(0.0)
            instance.run_until(9_900.0, 0.0)
        sent = sum(len(instance.extras_ms) for instance in fleet)
        self.assertGreater(sent, 15)
        self.assertLess(sent, 40)

    def test_a_process_that_has_run_for_a_window_has_the_whole_part(self):
        instance = Instance(build_limits(extra_share=0.0))
        instance.start(0.0)
        instance.run_until(11_000.0, 0.0, spends=False)
        instance.run_until(11_100.0, 0.0)
        self.assertEqual(80, len(instance.extras_ms))

    def test_reloads_do_not_renew_what_is_spent(self):
        """Guards against settings that change each second and renew the budget each time."""
        instance = Instance(build_limits())
        instance.run_until(12_000.0, 40.0, spends=False)
        for number in range(10):
            settings = build_limits(seeds=(f"10.0.0.{number}:1",))
            instance.budgets.apply_settings(settings, instance.now_ms)
            instance.run_until(instance.now_ms + 1_000.0, 40.0)
        self.assertLessEqual(worst_use(instance.settings, [instance]), 1.0)

    def test_a_smaller_bound_is_in_force_at_once(self):
        instance = Instance(build_limits(extra_share=0.0))
        instance.run_until(12_000.0, 0.0)
        instance.budgets.apply_settings(build_limits(extra_slack=10.0), instance.now_ms)
        instance.run_until(18_000.0, 0.0)
        late = [at_ms for at_ms in instance.extras_ms if at_ms > 12_000.0]
        self.assertEqual([], late)

    def test_a_longer_window_counts_as_unknown_until_it_has_passed(self):
        """Guards against a window whose first part was forgotten before it became longer."""
        instance = Instance(build_limits(extra_share=0.0))
        instance.run_until(12_000.0, 0.0)
        longer = build_limits(extra_share=0.0, extra_window_ms=30_000.0)
        instance.budgets.apply_settings(longer, instance.now_ms)
        instance.run_until(41_000.0, 0.0)
        late = [at_ms for at_ms in instance.extras_ms if at_ms > 12_000.0]
        self.assertLessEqual(len(late), STARTING_SLACK_PART * 100.0 + 1.0)

    def test_without_a_known_count_there_is_no_slack(self):
        """Guards against instances that start alone and each take the slack of a whole fleet."""
        instance = Instance(build_limits(extra_share=0.0))
        instance.budgets.set_instances(1, False)
        instance.run_until(12_000.0, 0.0)
        self.assertEqual([], instance.extras_ms)
