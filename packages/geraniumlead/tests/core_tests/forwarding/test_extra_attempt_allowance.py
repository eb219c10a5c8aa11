"""Test that an instance stays within its part of the bound while its processes come and go."""

from random import Random
from unittest import TestCase

from core_tests.forwarding.builders import build_settings
from geraniumlead.forwarding.extra_attempt_allowance import RESTART_RESERVE, SAFE_SLACK_PART
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

    def __init__(self, settings: ForwardingSettings, instances: int = 1) -> None:
        self.settings = settings
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

    def worst_use(self) -> float:
        """Return the largest part of this instance's bound that was used in any window."""
        settings = self.settings
        worst = 0.0
        for end_ms in self.extras_ms:
            sent = sum(1 for at_ms in self.extras_ms if end_ms - WINDOW_MS < at_ms <= end_ms)
            firsts = max(
                sum(1 for at_ms in self.firsts_ms if start_ms < at_ms <= start_ms + WINDOW_MS)
                for start_ms in (end_ms - k * WINDOW_MS / 2.0 for k in (2, 3, 4))
            )
            allowed = settings.extra_share * firsts + settings.extra_slack / self.instances
            worst = max(worst, sent / allowed)
        return worst


class ExtraAttemptAllowanceTests(TestCase):
    def test_restarts_at_any_time_stay_within_the_bound(self):
        """Guards against processes of one instance that each spend what the last one has spent."""
        for seed in range(40):
            random = Random(seed)
            rate = random.choice([0.0, 5.0, 40.0])
            instance = Instance(build_limits())
            spends_from_ms = random.uniform(8_000.0, 20_000.0)
            instance.run_until(spends_from_ms, rate, spends=False)
            for _ in range(random.randint(1, 12)):
                instance.run_until(instance.now_ms + random.expovariate(1.0 / 3_000.0), rate)
                instance.start(instance.now_ms)
            instance.run_until(instance.now_ms + 15_000.0, rate)
            with self.subTest(seed=seed):
                self.assertLessEqual(instance.worst_use(), 1.0)

    def test_a_process_that_spent_all_before_its_restart_leaves_enough_for_the_next(self):
        """Guards against a restart in an outage that doubles the load of a service."""
        instance = Instance(build_limits())
        instance.run_until(12_000.0, 40.0, spends=False)
        instance.run_until(12_100.0, 40.0)
        spent = len(instance.extras_ms)
        instance.start(instance.now_ms)
        instance.run_until(22_000.0, 40.0)
        self.assertGreater(spent, 0.4 * (0.2 * 400 + 100))
        self.assertGreater(len(instance.extras_ms), spent)
        self.assertLessEqual(instance.worst_use(), 1.0)

    def test_a_process_that_has_run_for_a_window_has_the_whole_part(self):
        instance = Instance(build_limits(extra_share=0.0))
        instance.start(0.0)
        instance.run_until(11_000.0, 0.0, spends=False)
        instance.run_until(11_100.0, 0.0)
        self.assertEqual(56, len(instance.extras_ms))

    def test_reloads_do_not_renew_what_is_spent(self):
        """Guards against settings that change each second and renew the budget each time."""
        instance = Instance(build_limits())
        instance.run_until(12_000.0, 40.0, spends=False)
        for number in range(10):
            settings = build_limits(seeds=(f"10.0.0.{number}:1",))
            instance.budgets.apply_settings(settings, instance.now_ms)
            instance.run_until(instance.now_ms + 1_000.0, 40.0)
        self.assertLessEqual(instance.worst_use(), 1.0)

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
        self.assertLessEqual(len(late), RESTART_RESERVE * SAFE_SLACK_PART * 100.0)

    def test_without_a_known_count_there_is_no_slack(self):
        """Guards against instances that start alone and each take the slack of a whole fleet."""
        instance = Instance(build_limits(extra_share=0.0))
        instance.budgets.set_instances(1, False)
        instance.run_until(12_000.0, 0.0)
        self.assertEqual([], instance.extras_ms)
