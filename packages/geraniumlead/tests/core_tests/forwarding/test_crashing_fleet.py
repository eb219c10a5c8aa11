"""Test that a fleet learns of a request that crashes upstreams, whoever gets its next try."""

from unittest import TestCase

from core_tests.forwarding.crash_fleet import (
    CRASHING,
    DATA_CENTRES,
    POPULAR,
    QUERY_PATH,
    SINGLE_PATH,
    CrashFleet,
    Return,
    ask_harmless,
    play_crashing_request,
)

MAX_LATE_TRIES = 3
RECOVERY_MS = 8_000.0
MAX_CONTROL_BYTES_PER_S = 24_000.0


class CrashingFleetTests(TestCase):
    def play(
        self, instances: int, path: str, returns: Return, tries: int = 50, seed: int = 1
    ) -> CrashFleet:
        fleet = CrashFleet(instances, seed, returns)
        play_crashing_request(fleet, path, tries)
        with self.subTest(instances=instances, path=path, returns=returns.name, seed=seed):
            self.assertGreaterEqual(len(fleet.crashes_ms), 3)
            self.assertLessEqual(len(fleet.late_tries()), MAX_LATE_TRIES)
            self.assertEqual([], fleet.refusals(is_crashing=False))
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
        self.play(85, SINGLE_PATH, Return.NEW_ID, tries=40)
        self.play(85, QUERY_PATH, Return.OLD_ID, tries=40)
        self.play(195, QUERY_PATH, Return.NEW_ID, tries=40)

    def test_a_request_that_comes_seldom_is_refused_after_few_tries(self):
        """Guards against a request whose crashes are forgotten before the next one comes."""
        for path in (SINGLE_PATH, QUERY_PATH):
            with self.subTest(path=path):
                fleet = CrashFleet(7)
                play_crashing_request(fleet, path, 10, interval_ms=6_000.0)
                self.assertGreaterEqual(len(fleet.crashes_ms), 3)
                self.assertLessEqual(len(fleet.late_tries()), MAX_LATE_TRIES)
                self.assertEqual([], fleet.refusals(is_crashing=False))
                self.assertTrue(list(fleet.tries.values())[-3].is_crashing)
                self.assertEqual("crashes_upstreams", list(fleet.tries.values())[-3].reason)

    def test_a_query_that_crashes_one_shard_is_answered_without_it(self):
        """Guards against a query that is cleared by each shard that it does not crash."""
        for returns in (Return.NEW_ID, Return.OLD_ID):
            with self.subTest(returns=returns.name):
                fleet = CrashFleet(7, returns=returns)
                fleet.crashing_service = "shard-3"
                play_crashing_request(fleet, QUERY_PATH, tries=80)
                self.assertGreaterEqual(len(fleet.crashes_ms), 3)
                self.assertLessEqual(len(fleet.late_tries()), MAX_LATE_TRIES)
                self.assertEqual([], fleet.refusals(is_crashing=True))
                self.assertEqual([], fleet.refusals(is_crashing=False))
                for last in list(fleet.tries.values())[-30:]:
                    reply = last.member.replies[last.key]
                    self.assertEqual(int(last.is_crashing), reply.missing)


class HarmlessRequestTests(TestCase):
    """Harmless requests are not refused, whatever ends their upstreams."""

    def assert_none_refused(self, fleet: CrashFleet) -> None:
        self.assertEqual([], fleet.refusals(is_crashing=False))

    def assert_recovered(self, fleet: CrashFleet, path: str) -> None:
        """Check that requests are served again some seconds later, at any instance."""
        fleet.run_for(RECOVERY_MS)
        asked = [fleet.ask(address, path + POPULAR) for address in fleet.addresses[:7]]
        fleet.run_for(1_000.0)
        self.assertEqual([""] * len(asked), [found.reason for found in asked])

    def test_a_data_centre_that_loses_power_again_and_again(self):
        """Guards against popular requests that are refused since each outage takes upstreams."""
        for returns in Return:
            for path in (SINGLE_PATH, QUERY_PATH):
                with self.subTest(path=path, returns=returns.name):
                    fleet = CrashFleet(7, returns=returns)
                    for number in range(4):
                        ask_harmless(fleet, path, 2_000.0)
                        fleet.end_data_centre(DATA_CENTRES[number % 3])
                        ask_harmless(fleet, path, 4_000.0)
                    self.assert_none_refused(fleet)
                    self.assert_recovered(fleet, path)

    def test_a_shard_whose_upstreams_all_crash_for_another_reason(self):
        """Guards against queries that are refused since one shard of theirs is always lost."""
        for returns in Return:
            with self.subTest(returns=returns.name):
                fleet = CrashFleet(7, returns=returns)
                for _ in range(4):
                    ask_harmless(fleet, QUERY_PATH, 1_500.0)
                    fleet.end_service("shard-3")
                    ask_harmless(fleet, QUERY_PATH, 4_000.0)
                self.assert_none_refused(fleet)
                self.assert_recovered(fleet, QUERY_PATH)

    def test_a_service_whose_upstreams_all_crash_again_and_again(self):
        """Guards against requests to one upstream that are refused when their service returns."""
        for returns in Return:
            with self.subTest(returns=returns.name):
                fleet = CrashFleet(7, returns=returns)
                ask_harmless(fleet, SINGLE_PATH, 1_500.0)
                for _ in range(3):
                    fleet.end_service("reader")
                    ask_harmless(fleet, SINGLE_PATH, 3_600.0)
                self.assert_none_refused(fleet)
                self.assert_recovered(fleet, SINGLE_PATH)

    def test_a_flood_of_crashing_requests_that_differ(self):
        """Guards against popular requests that are blamed for the crashes of a flood beside them.

        None of the requests comes twice, so none can be refused; an instance's messages about them
        stay within its share of the network.
        """
        for path in (SINGLE_PATH, QUERY_PATH):
            with self.subTest(path=path):
                fleet = CrashFleet(18)
                ask_harmless(fleet, path, 1_500.0)
                began_ms, sent_bytes = fleet.fleet.now_ms, sum(fleet.fleet.sent_bytes.values())
                for number in range(100):
                    fleet.ask(fleet.random.choice(fleet.addresses), f"{path}{number}{CRASHING}")
                    ask_harmless(fleet, path, 100.0)
                seconds = (fleet.fleet.now_ms - began_ms) / 1_000.0
                self.assert_none_refused(fleet)
                self.assert_recovered(fleet, path)
                per_instance = (sum(fleet.fleet.sent_bytes.values()) - sent_bytes) / 18 / seconds
                self.assertLess(per_instance, MAX_CONTROL_BYTES_PER_S)
