"""Test that a fleet learns of a request that crashes upstreams, whoever gets its next try."""

from unittest import TestCase

from core_tests.forwarding.crash_fleet import (
    QUERY_PATH,
    SINGLE_PATH,
    CrashFleet,
    Return,
    play_crashing_request,
)

MAX_LATE_TRIES = 3
TRIES = 60


class CrashingFleetTests(TestCase):
    def play(self, instances: int, path: str, returns: Return, seed: int = 1) -> CrashFleet:
        fleet = CrashFleet(instances, seed, returns)
        play_crashing_request(fleet, path, TRIES)
        with self.subTest(instances=instances, path=path, returns=returns.name, seed=seed):
            self.assertGreaterEqual(len(fleet.crashes_ms), 3)
            self.assertLessEqual(len(fleet.late_tries()), MAX_LATE_TRIES)
            self.assertNotIn("crashes_upstreams", fleet.reasons(is_crashing=False))
        return fleet

    def test_small_fleets_stop_sending_a_crashing_request(self):
        """Guards against a request that ends upstreams for ever, one try after the other.

        Tries come at instances that have just started or were cut off when the others learned of
        it, parts of queries run at peers, and upstreams return under new or old ids or fall silent.
        """
        for instances in (7, 18):
            for path in (SINGLE_PATH, QUERY_PATH):
                for returns in Return:
                    self.play(instances, path, returns)

    def test_large_fleets_stop_sending_a_crashing_request(self):
        """Guards against the instance that was not among those which were told."""
        self.play(85, SINGLE_PATH, Return.NEW_ID)
        self.play(85, QUERY_PATH, Return.OLD_ID)
        self.play(195, SINGLE_PATH, Return.OLD_ID)
        self.play(195, QUERY_PATH, Return.NEW_ID)
