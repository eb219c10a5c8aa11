"""Tests of which upstreams are known and usable."""

from unittest import TestCase

from core_tests.forwarding.builders import build_record
from geraniumlead.fleet import FleetView
from geraniumlead.fleet.fleet_view import LAPSE_HOLD_MS


class FleetViewTests(TestCase):
    def setUp(self):
        self.fleet = FleetView()
        self.fleet.put(build_record("one"))

    def names(self) -> list[str]:
        return [record.upstream_id for record in self.fleet.usable("reader")]

    def test_withdrawn_upstream_is_forgotten_at_once(self):
        self.assertTrue(self.fleet.remove("one", 0.0))
        self.assertEqual([], self.names())

    def test_entries_that_expired_during_an_outage_are_kept_for_a_while(self):
        """The store comes back without the entries that could not be renewed meanwhile.

        If they were removed at once, a service would have no upstream although all of them live.
        """
        self.fleet.record_platform_return(1_000.0)
        self.assertFalse(self.fleet.remove("one", 1_100.0))
        self.assertEqual(["one"], self.names())
        self.assertEqual([], self.fleet.expire(1_100.0))
        self.assertEqual(["one"], self.fleet.expire(1_000.0 + LAPSE_HOLD_MS))
        self.assertEqual([], self.names())

    def test_entry_that_is_published_again_in_time_stays(self):
        self.fleet.record_platform_return(1_000.0)
        self.fleet.remove("one", 1_100.0)
        self.fleet.put(build_record("one"))
        self.assertIsNone(self.fleet.next_wake_ms())
        self.assertEqual([], self.fleet.expire(9_000.0))

    def test_upstream_that_changes_its_service_leaves_the_old_one(self):
        self.fleet.put(build_record("one", "writer"))
        self.assertEqual([], self.names())
        self.assertEqual(1, len(self.fleet.usable("writer")))

    def test_evacuated_data_centre_gets_no_requests_until_it_is_back(self):
        self.fleet.set_evacuated(frozenset({"noord-a"}))
        self.assertEqual([], self.names())
        self.fleet.set_evacuated(frozenset())
        self.assertEqual(["one"], self.names())
