"""Tests of the choice of the instances that read the platform's store for others."""

from collections.abc import Mapping
from random import Random
from unittest import TestCase

from core_tests.peering.test_directory import SimulatedFleet
from geraniumlead.clocks import ClockOffset
from geraniumlead.peering import StoreWatch
from geraniumlead.peering.store_watch import MIN_GROUP_SIZE, WATCHERS_PER_GROUP

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
    ) -> tuple[SimulatedFleet, list[StoreWatch]]:
        fleet = SimulatedFleet(count, (1, 2, 3), data_centres)
        fleet.run_until(6_000.0)
        watches = [
            StoreWatch(member, data_centres[number % len(data_centres)], regions)
            for number, member in enumerate(fleet.members)
        ]
        return fleet, watches

    def test_updates_that_waited_are_noticed_without_any_hello(self):
        """Guards against late updates of a watcher known by gossip that are taken for fresh."""
        fleet, watches = self.build(2)
        fleet.members[0].peers["entry-1"].clock_offset = ClockOffset()
        self.assertEqual(0.0, watches[0].relay_delay_ms("entry-1", 100.0, 7_120.0))
        self.assertEqual(0.0, watches[0].relay_delay_ms("entry-1", 1_100.0, 8_119.0))
        self.assertEqual(2_001.0, watches[0].relay_delay_ms("entry-1", 2_100.0, 11_120.0))

    def test_small_data_centres_of_a_region_share_two_watchers(self):
        """Guards against data centres of three instances that all call the store each 3 seconds.

        Their calls cost more than their machines, processors and memory together.
        """
        fleet, watches = self.build(9, PAIRED, PAIRED_REGIONS)
        watching = [n for n, watch in enumerate(watches) if watch.is_watcher(fleet.now_ms)]
        in_noord = [n for n in watching if PAIRED[n % 3] != "zuid-a"]
        self.assertEqual(WATCHERS_PER_GROUP, len(in_noord))
        self.assertEqual(3, len(watching) - len(in_noord))
        for number in in_noord:
            self.assertEqual(5, len(watches[number].update_receivers(fleet.now_ms)))

    def test_small_data_centre_beside_a_large_one_watches_for_itself(self):
        """Two data centres of a region agree on which of them are small.

        Otherwise an instance might wait for a watcher that does not count it in its group, and
        get no updates from it.
        """
        data_centres = ("noord-a",) * 5 + ("noord-b",)
        fleet, watches = self.build(6, data_centres, PAIRED_REGIONS)
        self.assertTrue(watches[5].is_watcher(fleet.now_ms))
        self.assertEqual([], watches[5].update_receivers(fleet.now_ms))
        watching = [n for n in range(5) if watches[n].is_watcher(fleet.now_ms)]
        self.assertEqual(WATCHERS_PER_GROUP, len(watching))

    def test_two_of_each_data_centre_watch_and_relay_to_all_others_there(self):
        fleet, watches = self.build(30)
        watching = [n for n, watch in enumerate(watches) if watch.is_watcher(fleet.now_ms)]
        self.assertEqual(WATCHERS_PER_GROUP * len(DATA_CENTRES), len(watching))
        for number in watching:
            readers = watches[number].update_receivers(fleet.now_ms)
            self.assertEqual(10 - 1, len(readers))
            expected = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.assertEqual({expected}, {peer.contact.data_centre for peer in readers})

    def test_the_few_instances_of_a_small_data_centre_all_watch(self):
        fleet, watches = self.build((MIN_GROUP_SIZE - 1) * len(DATA_CENTRES))
        self.assertTrue(all(watch.is_watcher(fleet.now_ms) for watch in watches))
        self.assertTrue(all(not watch.update_receivers(fleet.now_ms) for watch in watches))

    def test_instance_that_reads_for_lack_of_watchers_relays_to_all(self):
        fleet, watches = self.build(18)
        reader = next(watch for watch in watches if not watch.is_watcher(fleet.now_ms))
        self.assertEqual(5, len(reader.update_receivers(fleet.now_ms)))

    def test_other_instances_take_over_from_watchers_that_are_gone(self):
        fleet, watches = self.build(24)
        gone = {n for n, watch in enumerate(watches) if watch.is_watcher(fleet.now_ms)}
        fleet.dead = gone
        fleet.run_until(80_000.0)
        rest = [watch for n, watch in enumerate(watches) if n not in gone]
        watching = [watch for watch in rest if watch.is_watcher(fleet.now_ms)]
        self.assertEqual(WATCHERS_PER_GROUP * len(DATA_CENTRES), len(watching))

    def test_state_is_requested_from_a_peer_of_the_same_data_centre(self):
        fleet, watches = self.build(12)
        for number, watch in enumerate(watches):
            peer = watch.choose_state_source(fleet.now_ms, Random(number))
            self.assertEqual(DATA_CENTRES[number % 3], peer.contact.data_centre)

    def test_last_instance_of_a_data_centre_requests_the_state_elsewhere(self):
        fleet, watches = self.build(12)
        fleet.dead = set(range(3, 12, 3))
        fleet.run_until(fleet.now_ms + 30_000.0)
        peer = watches[0].choose_state_source(fleet.now_ms, Random(1))
        self.assertNotEqual(DATA_CENTRES[0], peer.contact.data_centre)

    def test_instance_without_peers_has_no_state_source(self):
        fleet, watches = self.build(1)
        self.assertIsNone(watches[0].choose_state_source(fleet.now_ms, Random(1)))
