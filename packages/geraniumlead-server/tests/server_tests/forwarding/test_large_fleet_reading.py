"""Tests in virtual time of how old the view of an instance becomes."""

import asyncio
from unittest import TestCase

from geraniumlead.peering import UPDATE_TIMEOUT_JITTER, StoreReadTiming
from geraniumlead_standins.forwarding import StoreAccess
from server_tests.forwarding.reading_fleet import (
    MarkedStore,
    ReadingFleet,
    ReadingInstance,
    max_age_s,
    max_estimated_age_s,
    run_in_virtual_time,
)

BOUND_MS = 5_000.0
BOUND_S = BOUND_MS / 1000.0
FIRST_UPSTREAMS = 282
NEXT_UPSTREAMS = 405
OUTAGE_S = 9.0
INSTANCES = 14
SEEDS = range(1, 9)
START_S = 8.0
CALL_S = 0.2
"""Time of an answered call and of the interval in which ages are checked."""

UPDATE_TIMEOUT_MS = StoreReadTiming.from_bound(BOUND_MS).update_timeout_ms
MAX_AGE_WITHOUT_UPDATES_S = UPDATE_TIMEOUT_MS * (1.0 + UPDATE_TIMEOUT_JITTER) / 1000.0 + CALL_S
"""Greatest age of a view without updates: by then a reader has called the store itself."""


class NextIndexTests(TestCase):
    """The upstreams of another index start while those of the first still serve."""

    def test_rejected_instance_catches_up_within_the_bound(self):
        """Guards against the use of old entries for seconds after the store answers again.

        These are old routes and regions, and upstreams that are leaving.
        """
        for seed in SEEDS:
            for access in (StoreAccess.REFUSING, StoreAccess.SILENT):
                with self.subTest(seed=seed, access=access):
                    run_in_virtual_time(self._recover_during_starts(seed, access))

    async def _recover_during_starts(self, seed: int, access: StoreAccess) -> None:
        store = MarkedStore(FIRST_UPSTREAMS)
        store.start_marking()
        instance = ReadingInstance(store, BOUND_MS, seed)
        task = asyncio.create_task(instance.follower.run())
        await asyncio.sleep(START_S)
        instance.client.access = access
        store.start_upstreams(NEXT_UPSTREAMS)
        await asyncio.sleep(OUTAGE_S)
        instance.client.access = StoreAccess.OPEN
        await asyncio.sleep(BOUND_S)
        greatest_age_s = await max_age_s([instance], 5.0)
        task.cancel()
        self.assertLess(greatest_age_s, BOUND_S)

    def test_views_stay_fresh_during_starts(self):
        """Guards against views that fall behind while there are more changes than a reply holds."""
        run_in_virtual_time(self._follow_starts())

    async def _follow_starts(self) -> None:
        store = MarkedStore(FIRST_UPSTREAMS)
        store.start_marking()
        instance = ReadingInstance(store, BOUND_MS, seed=1)
        task = asyncio.create_task(instance.follower.run())
        await asyncio.sleep(START_S)
        store.start_upstreams(2 * NEXT_UPSTREAMS)
        greatest_age_s = await max_age_s([instance], 15.0)
        task.cancel()
        self.assertLess(greatest_age_s, BOUND_S)


class DataCentreTests(TestCase):
    """The instances of one data centre read the store for each other."""

    def run_each_seed(self, scenario) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_in_virtual_time(self._run_scenario(scenario, seed))

    async def _run_scenario(self, scenario, seed: int) -> None:
        store = MarkedStore(FIRST_UPSTREAMS)
        store.start_marking()
        fleet = ReadingFleet(store, BOUND_MS, INSTANCES, seed)
        fleet.start()
        await asyncio.sleep(START_S)
        store.start_upstreams(NEXT_UPSTREAMS)
        await scenario(fleet)
        fleet.stop()

    def test_readers_make_no_calls_while_nothing_changes(self):
        """Guards against calls by every instance without changes, because their views seem old."""
        run_in_virtual_time(self._count_quiet_calls())

    async def _count_quiet_calls(self) -> None:
        fleet = ReadingFleet(MarkedStore(FIRST_UPSTREAMS), BOUND_MS, INSTANCES, seed=1)
        fleet.start()
        await asyncio.sleep(START_S)
        before = [member.client.calls for member in fleet.members[2:]]
        await asyncio.sleep(60.0)
        fleet.stop()
        self.assertEqual(before, [member.client.calls for member in fleet.members[2:]])

    def test_views_stay_fresh_when_both_watchers_fail(self):
        """Guards against readers that keep waiting for watchers that have failed."""
        self.run_each_seed(self._lose_watchers)

    async def _lose_watchers(self, fleet: ReadingFleet) -> None:
        for watcher in fleet.members[:2]:
            watcher.client.is_running.clear()
        self.assertLess(await max_age_s(fleet.members[2:], 15.0), BOUND_S)

    def test_readers_confirm_their_views_soon_when_nothing_changes(self):
        """Guards against readers that wait for a change to find out that there was none."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_in_virtual_time(self._lose_watchers_without_changes(seed))

    async def _lose_watchers_without_changes(self, seed: int) -> None:
        fleet = ReadingFleet(MarkedStore(FIRST_UPSTREAMS), BOUND_MS, INSTANCES, seed)
        fleet.start()
        await asyncio.sleep(START_S)
        for watcher in fleet.members[:2]:
            watcher.client.is_running.clear()
        greatest_age_s = await max_estimated_age_s(fleet.members[2:], 15.0)
        fleet.stop()
        self.assertLess(greatest_age_s, MAX_AGE_WITHOUT_UPDATES_S)

    def test_rejected_watchers_use_updates_of_peers(self):
        """Guards against instances that use old routes for as long as the store rejects them."""
        self.run_each_seed(self._reject_watchers)

    async def _reject_watchers(self, fleet: ReadingFleet) -> None:
        for watcher in fleet.members[:2]:
            watcher.client.access = StoreAccess.REFUSING
        self.assertLess(await max_age_s(fleet.members, 12.0), BOUND_S)
        for watcher in fleet.members[:2]:
            watcher.client.access = StoreAccess.OPEN
        self.assertLess(await max_age_s(fleet.members, 6.0), BOUND_S)

    def test_rejected_instance_that_misses_a_message_requests_the_state(self):
        """Guards against one lost message that leaves an instance with old routes for an outage."""
        self.run_each_seed(self._lose_one_message)

    async def _lose_one_message(self, fleet: ReadingFleet) -> None:
        rejected = fleet.members[5]
        rejected.client.access = StoreAccess.SILENT
        fleet.lost = {(sender, 5) for sender in range(INSTANCES)}
        await asyncio.sleep(3.0)
        fleet.lost = set()
        await asyncio.sleep(BOUND_S)
        self.assertLess(await max_age_s([rejected], 10.0), BOUND_S)

    def test_rejected_instance_gets_a_configuration_too_large_to_relay(self):
        """Guards against a view that counts as fresh although a configuration was left out."""
        self.run_each_seed(self._publish_oversized_configuration)

    async def _publish_oversized_configuration(self, fleet: ReadingFleet) -> None:
        rejected = fleet.members[5]
        rejected.client.access = StoreAccess.REFUSING
        await asyncio.sleep(BOUND_S)
        fleet.store.put_configuration(version=7, route_count=4_000)
        await asyncio.sleep(BOUND_S)
        self.assertEqual(7, rejected.version)

    def test_state_reply_without_changes_has_no_items(self):
        """Guards against replies with the whole state to rejected peers while nothing changes."""
        run_in_virtual_time(self._request_state_without_changes())

    async def _request_state_without_changes(self) -> None:
        fleet = ReadingFleet(MarkedStore(FIRST_UPSTREAMS), BOUND_MS, 2, seed=1)
        fleet.start()
        await asyncio.sleep(START_S)
        first, second = (member.follower for member in fleet.members)
        known = first.build_state_reply(None)
        self.assertEqual(FIRST_UPSTREAMS, len(known.items))
        updates = second.build_state_reply(known.to_revision)
        fleet.stop()
        self.assertEqual((False, ()), (updates.is_state, updates.items))

    def test_instance_rejected_at_start_gets_the_state_from_a_peer(self):
        """Guards against an instance that refuses callers while its peers can read the store."""
        for access in (StoreAccess.REFUSING, StoreAccess.SILENT):
            for seed in SEEDS:
                with self.subTest(access=access, seed=seed):
                    run_in_virtual_time(self._start_rejected(seed, access))

    async def _start_rejected(self, seed: int, access: StoreAccess) -> None:
        store = MarkedStore(FIRST_UPSTREAMS)
        store.start_marking()
        fleet = ReadingFleet(store, BOUND_MS, INSTANCES, seed)
        starting = fleet.members[5]
        starting.client.access = access
        fleet.start()
        await asyncio.sleep(START_S)
        self.assertEqual(FIRST_UPSTREAMS + 1, len(starting.known))
        self.assertLess(await max_age_s([starting], 10.0), BOUND_S)
        fleet.stop()

    def test_frozen_watchers_catch_up_within_the_bound(self):
        """Guards against an instance that uses its view from before a freeze."""
        self.run_each_seed(self._freeze_watchers)

    async def _freeze_watchers(self, fleet: ReadingFleet) -> None:
        frozen = fleet.members[:2]
        freezes = [asyncio.create_task(member.freeze(10.0)) for member in frozen]
        self.assertLess(await max_age_s(fleet.members[2:], 10.0), BOUND_S)
        await asyncio.gather(*freezes)
        await asyncio.sleep(1.0)
        self.assertLess(await max_age_s(fleet.members, 6.0), BOUND_S)

    def test_views_stay_fresh_when_relayed_updates_are_late(self):
        """Guards against readers that take late updates for new ones, and wait again.

        A reader that knows the age of its view calls the store when the age reaches the update
        timeout.
        """
        self.run_each_seed(self._delay_relayed_updates)

    async def _delay_relayed_updates(self, fleet: ReadingFleet) -> None:
        fleet.members[0].client.is_running.clear()
        for delay_s in (1.0, 2.0, 2.7):
            fleet.delays_s[1] = delay_s
            self.assertLess(await max_age_s(fleet.members[2:], 10.0), MAX_AGE_WITHOUT_UPDATES_S)


class SmallDataCentreTests(TestCase):
    """A few instances all read the store, and relay no updates without a request."""

    def test_rejected_instance_requests_the_state_from_peers(self):
        """Guards against an instance that lacks new upstreams that its peers know."""
        for bound_ms in (3_000.0, 4_000.0):
            for access in (StoreAccess.REFUSING, StoreAccess.SILENT):
                for seed in SEEDS:
                    with self.subTest(bound_ms=bound_ms, access=access, seed=seed):
                        run_in_virtual_time(self._reject_one(bound_ms, access, seed))

    async def _reject_one(self, bound_ms: float, access: StoreAccess, seed: int) -> None:
        store = MarkedStore(upstream_count=150)
        store.start_marking()
        fleet = ReadingFleet(store, bound_ms, count=3, seed=seed)
        fleet.watchers = {0, 1, 2}
        fleet.has_readers = False
        fleet.start()
        await asyncio.sleep(START_S)
        fleet.members[2].client.access = access
        self.assertLess(await max_age_s(fleet.members, 12.0), bound_ms / 1000.0)
        fleet.stop()


class LoneInstanceTests(TestCase):
    """One instance reads the store by itself, as in small data centres."""

    def test_view_is_current_within_the_bound_after_an_outage(self):
        """Guards against an instance that still waits for a lost answer, or pauses for too long."""
        for bound_ms in (2_000.0, 3_000.0, 4_000.0, 5_000.0):
            for access in (StoreAccess.REFUSING, StoreAccess.SILENT):
                for half_seconds in range(1, 26):
                    outage_s = half_seconds / 2.0
                    with self.subTest(bound_ms=bound_ms, access=access, outage_s=outage_s):
                        run_in_virtual_time(self._recover_after(bound_ms, access, outage_s))

    async def _recover_after(self, bound_ms: float, access: StoreAccess, outage_s: float) -> None:
        store = MarkedStore(upstream_count=20)
        store.start_marking()
        instance = ReadingInstance(store, bound_ms, seed=int(outage_s * 2.0))
        task = asyncio.create_task(instance.follower.run())
        await asyncio.sleep(6.0 + outage_s * 0.13)
        instance.client.access = access
        await asyncio.sleep(outage_s)
        instance.client.access = StoreAccess.OPEN
        await asyncio.sleep(bound_ms / 1000.0)
        task.cancel()
        self.assertLess(instance.age_s, bound_ms / 1000.0)

    def test_configurations_in_quick_succession_are_in_force_within_the_bound(self):
        """Guards against a truncated reply taken for a complete one; only its size shows it."""
        run_in_virtual_time(self._follow_large_configurations())

    async def _follow_large_configurations(self) -> None:
        store = MarkedStore(upstream_count=20)
        store.start_marking()
        instance = ReadingInstance(store, BOUND_MS, seed=1)
        task = asyncio.create_task(instance.follower.run())
        await asyncio.sleep(6.0)
        writer = asyncio.create_task(store.write_large_configurations())
        self.assertLess(await max_age_s([instance], 20.0), BOUND_S)
        writer.cancel()
        task.cancel()
