"""Test all ten invariants over histories in virtual time."""

from unittest import TestCase

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from geraniumlead_standins.histories.ablations import ABLATIONS
from geraniumlead_standins.histories.failures import FAILURES
from geraniumlead_standins.histories.scenario import Scenario
from geraniumlead_standins.history.checks import CHECKS, check_all

PROVOKING_SCENARIOS = {
    "one snapshot": (1, "newest answered"),
    "true coverage": (1, "messages lost"),
    "cold load": (1, "centre returns cold"),
    "data centre out": (1, "straggler"),
    "own answer": (1, "straggler"),
    "not run": (1, "newest answered"),
    "at most once": (1, "callers send again"),
    "leaving upstream": (1, "straggler"),
    "graceful stop": (1, "platform slow"),
    "configuration": (1, "platform back in time"),
}


def find_broken(scenario: Scenario) -> list[str]:
    results = check_all(scenario.run())
    return [
        f"{found.invariant}: {found.detail}" for result in results for found in result.violations
    ]


class SafeguardTests(TestCase):
    def test_each_check_fails_without_its_safeguard_and_passes_with_it(self):
        for invariant, (seed, failure) in PROVOKING_SCENARIOS.items():
            scenario = Scenario(seed, (failure,))
            with ABLATIONS[invariant]():
                ablated = CHECKS[invariant](scenario.run())
            shipped = CHECKS[invariant](scenario.run())
            with self.subTest(invariant=invariant):
                self.assertNotEqual([], ablated.violations)
                self.assertEqual([], shipped.violations)


class ScheduleTests(TestCase):
    # Hypothesis derives the examples from the name and the source of this test, so a rename in
    # it changes which schedules run.
    @settings(
        max_examples=8,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
    )
    @given(
        st.integers(min_value=1, max_value=1_000_000),
        st.lists(st.sampled_from(sorted(FAILURES)), min_size=1, max_size=3),
    )
    def test_no_promise_is_broken_by_failures_together(self, seed: int, failures: list[str]):
        self.assertEqual([], find_broken(Scenario(seed, tuple(failures))))

    def test_same_seed_gives_the_same_history(self):
        scenario = Scenario(7, ("kills twice",))
        self.assertEqual(scenario.run().events, scenario.run().events)

    def test_seeds_that_found_a_fault(self):
        """Scenarios that once revealed faults.

        - "newest answered", seed 1: a repartition answered from the new version ran bookings
          twice.
        - "centre returns cold", seed 1: an owner lost a reply while it stopped.
        - "crash query", seed 1: an arithmetic error in the admission ended the process.
        - "upstream returns cold", seed 65133: the upstream went down from overload, as its
          owner assumed that it was as warm as before.
        """
        for seed, failure in (
            (1, "newest answered"),
            (1, "centre returns cold"),
            (1, "crash query"),
            (65133, "upstream returns cold"),
        ):
            with self.subTest(seed=seed, failure=failure):
                self.assertEqual([], find_broken(Scenario(seed, (failure,))))
