"""Tests that a table built from the previous one equals one built from scratch."""

from random import Random
from unittest import TestCase

from core_tests.builders import build_instance, build_upstream
from geraniumlead.configuration import ClusterView, PlacedUpstream
from geraniumlead.ownership import OwnerTable

UPSTREAMS = 40


def build_view(numbers: set[int], leaving: set[int], connections: int) -> ClusterView:
    """Return a view of one data centre with the instances of these numbers."""
    entries = tuple(
        build_instance(number, state="leaving" if number in leaving else "live")
        for number in sorted(numbers)
    )
    upstreams = {
        f"ledger-{number}": PlacedUpstream(build_upstream(number, connections=connections), "noord")
        for number in range(UPSTREAMS)
    }
    return ClusterView(instances={"noord": entries}, upstreams=upstreams)


class OwnersFromPreviousTests(TestCase):
    def test_equals_a_new_table_after_any_changes(self):
        random = Random(1)
        numbers, table = set(range(12)), OwnerTable(ClusterView())
        for step in range(60):
            numbers ^= {random.randrange(20), random.randrange(20)}
            leaving = {random.randrange(20)}
            view = build_view(numbers, leaving, connections=20 if step % 10 else 8)
            table = OwnerTable.from_previous(view, table)
            expected = OwnerTable(view)
            for upstream_id in view.upstreams:
                self.assertEqual(expected.owners_of(upstream_id), table.owners_of(upstream_id))
