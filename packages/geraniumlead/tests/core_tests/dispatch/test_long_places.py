"""Test how many long jobs an owner may have at an upstream."""

from unittest import TestCase

from core_tests.builders import build_upstream
from geraniumlead.dispatch.upstream_gate import count_long_places


class LongPlacesTests(TestCase):
    def test_owner_keeps_a_slot_of_its_share_for_short_requests(self):
        """Two owners share six slots, and long jobs wait at both.

        The first owner used to run three at once, its whole share. Its short requests then
        waited for the end of a long job, since the free slot was the other owner's.
        """
        entry = build_upstream(slots=6)
        owners = ("noord-0", "noord-1")
        places = [count_long_places(entry, owners, name) for name in owners]
        self.assertEqual([2, 2], places)

    def test_two_slots_of_two_owners_take_one_long_job(self):
        entry = build_upstream(slots=2)
        owners = ("noord-0", "noord-1")
        places = [count_long_places(entry, owners, name) for name in owners]
        self.assertEqual([1, 0], places)
