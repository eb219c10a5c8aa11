"""Test that instances with different views stay within the allowance of a cold upstream."""

from random import Random
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from core_tests.cold_start.fleet_of_dispatchers import GAP_MS, LAG_MS, FleetOfDispatchers
from geraniumlead.upstreams import Records

COUNT = 4
LIST_LAG_MS = LAG_MS + GAP_MS


def run_steps(fleet: FleetOfDispatchers, schedule: list[tuple]) -> None:
    """Run a schedule while every instance calls the upstream all the time."""
    for step in schedule:
        match step:
            case ("publish", listed, lags_ms):
                fleet.publish(sorted(listed), lags_ms)
            case ("pause", number, for_ms):
                fleet.paused_until_ms[fleet.names[number]] = fleet.now_ms + for_ms
            case ("advance", ticks):
                for tick in range(ticks):
                    fleet.advance(20.0)
                    for name in fleet.names:
                        fleet.submit(name)
                    if tick % 4 == 0 and fleet.at_upstream:
                        fleet.answer(min(fleet.at_upstream), Records(1, 0, b"[]", cold=True))


def draw_schedule(random: Random) -> list[tuple]:
    """Return random short-lived lists with different lags, busy periods and pauses."""
    schedule: list[tuple] = []
    for _ in range(12):
        listed = set(random.sample(range(COUNT), random.randint(1, COUNT - 1)))
        lags_ms = [random.choice([0.0, LAG_MS / 2.0, LAG_MS]) for _ in range(COUNT)]
        pause_ms = random.choice([GAP_MS, 2_000.0, 5_000.0])
        schedule += random.choice(
            [
                [("publish", listed, lags_ms)],
                [("advance", random.randint(5, 100))],
                [("advance", random.randint(5, 100))],
                [("pause", random.randrange(COUNT), pause_ms)],
            ]
        )
    return schedule


def measure_max_concurrent(seed: int, allowance: int, list_lag_ms: float) -> int:
    fleet = FleetOfDispatchers(COUNT, allowance, list_lag_ms)
    run_steps(fleet, draw_schedule(Random(seed)))
    return fleet.max_concurrent


class SlotHolderTests(TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.integers(0, 1_000_000), st.integers(1, 2))
    def test_sum_over_diverging_instances_stays_within_allowance(self, seed, allowance):
        """Instances get lists late, miss some, are paused, and all call the cold upstream.

        Their lists differ in age, so two of them may assume at the same time that they hold the
        single slot. If the calls of both overlap, the upstream is overloaded and their callers
        get connection resets.
        """
        self.assertLessEqual(measure_max_concurrent(seed, allowance, LIST_LAG_MS), allowance)

    def test_same_schedules_exceed_the_allowance_without_the_wait(self):
        max_concurrent = max(measure_max_concurrent(seed, 1, list_lag_ms=0.0) for seed in range(40))
        self.assertEqual(2, max_concurrent)

    def test_instance_that_skips_a_list_does_not_share_its_slot(self):
        """One instance misses that another one was on the list for a short time.

        First 0 is listed alone, then with 1, then alone again. 1 learns late that it was
        removed, and 0 never learns that 1 was listed. Without the wait at every new revision 0
        continues while 1 starts, and the upstream gets two calls.
        """
        self.assertEqual(1, self.run_skipped_list(LIST_LAG_MS))
        self.assertEqual(2, self.run_skipped_list(list_lag_ms=0.0))

    def run_skipped_list(self, list_lag_ms: float) -> int:
        max_concurrent = 0
        for first in (0, 1):
            fleet = FleetOfDispatchers(COUNT, 1, list_lag_ms)
            fleet.publish([first], [0.0] * COUNT)
            fleet.advance(LIST_LAG_MS + 300.0)
            fleet.publish([0, 1], [0.0 if number != first else LAG_MS for number in range(COUNT)])
            fleet.advance(LAG_MS - 10.0)
            fleet.publish([first], [0.0 if number == first else LAG_MS for number in range(COUNT)])
            for _ in range(300):
                fleet.advance(10.0)
                fleet.submit("noord-0")
                fleet.submit("noord-1")
            max_concurrent = max(max_concurrent, fleet.max_concurrent)
        return max_concurrent

    def test_slot_is_used_after_the_wait(self):
        fleet = FleetOfDispatchers(COUNT, 1, LIST_LAG_MS)
        fleet.publish([2], [0.0] * COUNT)
        fleet.advance(LIST_LAG_MS)
        fleet.submit("noord-2")
        self.assertEqual(0, len(fleet.at_upstream))
        fleet.advance(300.0)
        fleet.submit("noord-2")
        self.assertEqual(1, len(fleet.at_upstream))
