"""Test who reads the platform's store for others."""

from collections.abc import Mapping
from random import Random
from unittest import TestCase

from core_tests.peering.test_directory import Group
from geraniumlead.peering import StoreWatch
from geraniumlead.peering.store_watch import LEAST_INSTANCES, WATCHERS

DATA_CENTRES = ("noord-a", "midden-a", "zuid-a")
REGIONS = {"noord-a": "noord", "midden-a": "midden", "zuid-a": "zuid"}
PAIRED = ("noord-a", "noord-b", "zuid-a")
PAIRED_REGIONS = {"noord-a": "noord", "noord-b": "noord", "zuid-a": "zuid"}


class StoreWatchTests(TestCase):
    def build(
        self,
        count: int,
        data_centres: tuple[str, ...] = DATA_CENTRES,
        regions: Mapping[str, str] = REGIONS,
    ) -> tuple[Group, list[StoreWatch]]:
        group = Group(count, (1, 2, 3), data_centres)
        group.run_until(6_000.0)
        watches = [
            StoreWatch(member, data_centres[number % len(data_centres)], regions)
            for number, member in enumerate(group.members)
        ]
        return group, watches

    def test_small_data_centres_of_a_region_share_two_who_watch(self):
        """Three instances a data centre, all of which called the store each three seconds.

        Their calls cost more than their machines, processors and memory together.
        """
        group, watches = self.build(9, PAIRED, PAIRED_REGIONS)
        watching = [n for n, watch in enumerate(watches) if watch.is_watcher(group.now_ms)]
        in_noord = [n for n in watching if PAIRED[n % 3] != "zuid-a"]
        self.assertEqual(WATCHERS, len(in_noord))
        self.assertEqual(3, len(watching) - len(in_noord))
        for number in in_noord:
            self.assertEqual(5, len(watches[number].readers(group.now_ms)))

    def test_a_small_data_centre_beside_a_large_one_watches_for_itself(self):
        """Two data centres of a region see each other's sizes alike.

        Counted in by one of them only, an instance would wait for a watcher that tells it nothing.
        """
        data_centres = ("noord-a",) * 5 + ("noord-b",)
        group, watches = self.build(6, data_centres, PAIRED_REGIONS)
        self.assertTrue(watches[5].is_watcher(group.now_ms))
        self.assertEqual([], watches[5].readers(group.now_ms))
        watching = [n for n in range(5) if watches[n].is_watcher(group.now_ms)]
        self.assertEqual(WATCHERS, len(watching))

    def test_two_of_each_data_centre_watch_and_tell_all_others_there(self):
        group, watches = self.build(30)
        watching = [n for n, watch in enumerate(watches) if watch.is_watcher(group.now_ms)]
        self.assertEqual(WATCHERS * len(DATA_CENTRES), len(watching))
        for number in watching:
            readers = watches[number].readers(group.now_ms)
            self.assertEqual(10 - 1, len(readers))
            expected = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.assertEqual({expected}, {peer.contact.data_centre for peer in readers})

    def test_the_few_instances_of_a_small_data_centre_all_watch(self):
        group, watches = self.build((LEAST_INSTANCES - 1) * len(DATA_CENTRES))
        self.assertTrue(all(watch.is_watcher(group.now_ms) for watch in watches))
        self.assertTrue(all(not watch.readers(group.now_ms) for watch in watches))

    def test_one_who_reads_for_want_of_watchers_tells_all(self):
        group, watches = self.build(18)
        reader = next(watch for watch in watches if not watch.is_watcher(group.now_ms))
        self.assertEqual(5, len(reader.readers(group.now_ms)))

    def test_others_take_over_from_watchers_that_are_gone(self):
        group, watches = self.build(24)
        gone = {n for n, watch in enumerate(watches) if watch.is_watcher(group.now_ms)}
        group.dead = gone
        group.run_until(80_000.0)
        rest = [watch for n, watch in enumerate(watches) if n not in gone]
        watching = [watch for watch in rest if watch.is_watcher(group.now_ms)]
        self.assertEqual(WATCHERS * len(DATA_CENTRES), len(watching))

    def test_the_state_is_asked_of_a_peer_of_the_own_data_centre(self):
        group, watches = self.build(12)
        for number, watch in enumerate(watches):
            peer = watch.informant(group.now_ms, Random(number))
            self.assertEqual(DATA_CENTRES[number % 3], peer.contact.data_centre)

    def test_the_state_is_asked_elsewhere_by_the_last_of_a_data_centre(self):
        group, watches = self.build(12)
        group.dead = set(range(3, 12, 3))
        group.run_until(group.now_ms + 30_000.0)
        peer = watches[0].informant(group.now_ms, Random(1))
        self.assertNotEqual(DATA_CENTRES[0], peer.contact.data_centre)

    def test_nobody_is_asked_for_the_state_by_one_who_is_alone(self):
        group, watches = self.build(1)
        self.assertIsNone(watches[0].informant(group.now_ms, Random(1)))
