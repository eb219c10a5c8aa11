"""Test how many slots of an upstream an owner may use for long-running calls."""

from unittest import TestCase

from core_tests.builders import build_upstream
from geraniumlead.dispatch.upstream_gate import count_long_slots


class LongSlotsTests(TestCase):
    def test_owner_keeps_a_slot_of_its_share_for_short_requests(self):
        """Two owners share six slots, and long-running calls wait at both.

        The first owner ran three of them, its whole share. Its short requests then waited for
        the end of a long-running call, because the free slot belonged to the other owner.
        """
        entry = build_upstream(slots=6)
        owners = ("noord-0", "noord-1")
        slots = [count_long_slots(entry, owners, name) for name in owners]
        self.assertEqual([2, 2], slots)

    def test_two_slots_of_two_owners_take_one_long_job(self):
        entry = build_upstream(slots=2)
        owners = ("noord-0", "noord-1")
        slots = [count_long_slots(entry, owners, name) for name in owners]
        self.assertEqual([1, 0], slots)
