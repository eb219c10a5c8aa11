"""Tests of which upstreams are known and usable."""

from unittest import TestCase

from core_tests.forwarding.builders import build_record
from geraniumlead.published_upstreams import UpstreamView
from geraniumlead.published_upstreams.upstream_view import LAPSE_HOLD_MS


class UpstreamViewTests(TestCase):
    def setUp(self):
        self.view = UpstreamView()
        self.view.put(build_record("one"))

    def names(self) -> list[str]:
        return [record.upstream_id for record in self.view.usable("reader")]

    def test_withdrawn_upstream_is_forgotten_at_once(self):
        self.assertTrue(self.view.remove("one", 0.0))
        self.assertEqual([], self.names())

    def test_entries_that_expired_during_an_outage_are_kept_for_a_while(self):
        """The store comes back without the entries that could not be renewed meanwhile.

        If they were removed at once, a service would have no upstream although all of them live.
        """
        self.view.record_platform_return(1_000.0)
        self.assertFalse(self.view.remove("one", 1_100.0))
        self.assertEqual(["one"], self.names())
        self.assertEqual([], self.view.expire(1_100.0))
        self.view.record_read(1_000.0 + LAPSE_HOLD_MS)
        self.assertEqual([], self.view.expire(999.0 + LAPSE_HOLD_MS))
        (expired,) = self.view.expire(1_000.0 + LAPSE_HOLD_MS)
        self.assertEqual("one", expired.upstream_id)
        self.assertEqual([], self.names())

    def test_held_upstreams_are_kept_until_a_later_read_confirms_their_removal(self):
        """Guards against upstreams that have returned to the store but not been read yet."""
        self.view.record_platform_return(1_000.0)
        self.view.record_read(1_100.0)
        self.view.remove("one", 1_100.0)
        self.assertEqual([], self.view.expire(1_000.0 + 2.0 * LAPSE_HOLD_MS))
        self.assertIsNone(self.view.next_wake_ms())
        self.view.record_read(1_000.0 + LAPSE_HOLD_MS)
        self.assertEqual(1, len(self.view.expire(1_000.0 + 2.0 * LAPSE_HOLD_MS)))

    def test_a_return_that_is_told_again_or_late_holds_nothing_longer(self):
        """Guards against a hold that each message of the same outage begins anew."""
        self.view.record_platform_return(1_000.0)
        self.view.record_platform_return(400.0)
        self.assertFalse(self.view.remove("one", 999.0 + LAPSE_HOLD_MS))
        self.view.put(build_record("one"))
        self.assertTrue(self.view.remove("one", 1_000.0 + LAPSE_HOLD_MS))

    def test_entry_that_is_published_again_in_time_stays(self):
        self.view.record_platform_return(1_000.0)
        self.view.remove("one", 1_100.0)
        self.view.put(build_record("one"))
        self.assertIsNone(self.view.next_wake_ms())
        self.assertEqual([], self.view.expire(9_000.0))

    def test_upstream_that_changes_its_service_leaves_the_old_one(self):
        self.view.put(build_record("one", "writer"))
        self.assertEqual([], self.names())
        self.assertEqual(1, len(self.view.usable("writer")))

    def test_evacuated_data_centre_gets_no_requests_until_it_is_back(self):
        self.view.set_evacuated(frozenset({"noord-a"}))
        self.assertEqual([], self.names())
        self.view.set_evacuated(frozenset())
        self.assertEqual(["one"], self.names())
