"""Test in virtual time how old the view of an instance gets."""

import asyncio
from unittest import TestCase

from geraniumlead.peering import UPDATE_TIMEOUT_JITTER, StoreReadTiming
from geraniumlead_standins.forwarding import StoreAccess
from server_tests.forwarding.reading_fleet import (
    MarkedStore,
    ReadingFleet,
    ReadingInstance,
    oldest_age_s,
    oldest_believed_age_s,
    run_in_virtual_time,
)

BOUND_MS = 5_000.0
BOUND_S = BOUND_MS / 1000.0
FIRST_UPSTREAMS = 282
NEXT_UPSTREAMS = 405
AWAY_S = 9.0
INSTANCES = 14
SEEDS = range(1, 9)
START_S = 8.0
CALL_S = 0.2
"""A call that is answered, and the step in which ages are looked at."""

PATIENCE_MS = StoreReadTiming.from_bound(BOUND_MS).update_timeout_ms
LONGEST_UNHEARD_S = PATIENCE_MS * (1.0 + UPDATE_TIMEOUT_JITTER) / 1000.0 + CALL_S
"""Age at which a reader has asked for itself at the latest."""


class NextIndexTests(TestCase):
    """The upstreams of another index start while the first still serves."""

    def test_who_was_turned_away_meanwhile_knows_all_within_the_bound_of_its_return(self):
        """Guards against old routes, regions and leaving upstreams for seconds after the return."""
        for seed in SEEDS:
            for door in (StoreAccess.REFUSING, StoreAccess.SILENT):
                with self.subTest(seed=seed, door=door):
                    run_in_virtual_time(self._return_beside_starts(seed, door))

    async def _return_beside_starts(self, seed: int, door: StoreAccess) -> None:
        store = MarkedStore(FIRST_UPSTREAMS)
        store.start_marking()
        instance = ReadingInstance(store, BOUND_MS, seed)
        task = asyncio.create_task(instance.follower.run())
        await asyncio.sleep(START_S)
        instance.client.access = door
        store.start_upstreams(NEXT_UPSTREAMS)
        await asyncio.sleep(AWAY_S)
        instance.client.access = StoreAccess.OPEN
        await asyncio.sleep(BOUND_S)
        oldest_s = await oldest_age_s([instance], 5.0)
        task.cancel()
        self.assertLess(oldest_s, BOUND_S)

    def test_views_stay_fresh_beside_the_starts(self):
        """Guards against views that fall behind while more changes than a reply holds."""
        run_in_virtual_time(self._follow_starts())

    async def _follow_starts(self) -> None:
        store = MarkedStore(FIRST_UPSTREAMS)
        store.start_marking()
        instance = ReadingInstance(store, BOUND_MS, seed=1)
        task = asyncio.create_task(instance.follower.run())
        await asyncio.sleep(START_S)
        store.start_upstreams(2 * NEXT_UPSTREAMS)
        oldest_s = await oldest_age_s([instance], 15.0)
        task.cancel()
        self.assertLess(oldest_s, BOUND_S)


class DataCentreTests(TestCase):
    """The instances of one data centre read the store for each other."""

    def run_each_seed(self, play) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_in_virtual_time(self._play(play, seed))

    async def _play(self, play, seed: int) -> None:
        store = MarkedStore(FIRST_UPSTREAMS)
        store.start_marking()
        fleet = ReadingFleet(store, BOUND_MS, INSTANCES, seed)
        fleet.start()
        await asyncio.sleep(START_S)
        store.start_upstreams(NEXT_UPSTREAMS)
        await play(fleet)
        fleet.stop()

    def test_readers_ask_nothing_while_nothing_changes(self):
        """Guards against calls of every instance in a quiet fleet, for views that seem old."""
        run_in_virtual_time(self._count_quiet_calls())

    async def _count_quiet_calls(self) -> None:
        fleet = ReadingFleet(MarkedStore(FIRST_UPSTREAMS), BOUND_MS, INSTANCES, seed=1)
        fleet.start()
        await asyncio.sleep(START_S)
        before = [member.client.calls for member in fleet.members[2:]]
        await asyncio.sleep(60.0)
        fleet.stop()
        self.assertEqual(before, [member.client.calls for member in fleet.members[2:]])

    def test_views_stay_fresh_when_both_watchers_die(self):
        """Guards against readers that go on waiting for watchers that are gone."""
        self.run_each_seed(self._lose_watchers)

    async def _lose_watchers(self, fleet: ReadingFleet) -> None:
        for watcher in fleet.members[:2]:
            watcher.client.is_running.clear()
        self.assertLess(await oldest_age_s(fleet.members[2:], 15.0), BOUND_S)

    def test_readers_prove_their_views_soon_when_nothing_changes(self):
        """Guards against readers that wait for a change before they know that there was none."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_in_virtual_time(self._lose_watchers_in_calm(seed))

    async def _lose_watchers_in_calm(self, seed: int) -> None:
        fleet = ReadingFleet(MarkedStore(FIRST_UPSTREAMS), BOUND_MS, INSTANCES, seed)
        fleet.start()
        await asyncio.sleep(START_S)
        for watcher in fleet.members[:2]:
            watcher.client.is_running.clear()
        oldest_s = await oldest_believed_age_s(fleet.members[2:], 15.0)
        fleet.stop()
        self.assertLess(oldest_s, LONGEST_UNHEARD_S)

    def test_who_is_turned_away_lives_on_what_peers_tell(self):
        """Guards against an instance that follows old routes for as long as it is turned away."""
        self.run_each_seed(self._turn_watchers_away)

    async def _turn_watchers_away(self, fleet: ReadingFleet) -> None:
        for watcher in fleet.members[:2]:
            watcher.client.access = StoreAccess.REFUSING
        self.assertLess(await oldest_age_s(fleet.members, 12.0), BOUND_S)
        for watcher in fleet.members[:2]:
            watcher.client.access = StoreAccess.OPEN
        self.assertLess(await oldest_age_s(fleet.members, 6.0), BOUND_S)

    def test_who_is_turned_away_and_misses_a_message_asks_a_peer(self):
        """Guards against one lost message that leaves an instance on old routes for an outage."""
        self.run_each_seed(self._lose_one_message)

    async def _lose_one_message(self, fleet: ReadingFleet) -> None:
        away = fleet.members[5]
        away.client.access = StoreAccess.SILENT
        fleet.lost = {(sender, 5) for sender in range(INSTANCES)}
        await asyncio.sleep(3.0)
        fleet.lost = set()
        await asyncio.sleep(BOUND_S)
        self.assertLess(await oldest_age_s([away], 10.0), BOUND_S)

    def test_who_is_turned_away_gets_what_is_too_large_to_tell_to_all(self):
        """Guards against a view that counts as young although a configuration was left out."""
        self.run_each_seed(self._publish_too_much_to_tell)

    async def _publish_too_much_to_tell(self, fleet: ReadingFleet) -> None:
        away = fleet.members[5]
        away.client.access = StoreAccess.REFUSING
        await asyncio.sleep(BOUND_S)
        fleet.store.put_configuration(version=7, route_count=4_000)
        await asyncio.sleep(BOUND_S)
        self.assertEqual(7, away.version)

    def test_who_has_nothing_new_to_tell_answers_in_a_few_bytes(self):
        """Guards against whole states sent to one who is turned away while nothing changes."""
        run_in_virtual_time(self._ask_in_calm())

    async def _ask_in_calm(self) -> None:
        fleet = ReadingFleet(MarkedStore(FIRST_UPSTREAMS), BOUND_MS, 2, seed=1)
        fleet.start()
        await asyncio.sleep(START_S)
        first, second = (member.follower for member in fleet.members)
        known = first.tell_state(None)
        self.assertEqual(FIRST_UPSTREAMS, len(known.items))
        news = second.tell_state(known.to_revision)
        fleet.stop()
        self.assertEqual((False, ()), (news.is_state, news.items))

    def test_who_starts_turned_away_takes_the_state_from_a_peer(self):
        """Guards against refusals for as long as the store turns one away that its peers read."""
        for door in (StoreAccess.REFUSING, StoreAccess.SILENT):
            for seed in SEEDS:
                with self.subTest(door=door, seed=seed):
                    run_in_virtual_time(self._start_turned_away(seed, door))

    async def _start_turned_away(self, seed: int, door: StoreAccess) -> None:
        store = MarkedStore(FIRST_UPSTREAMS)
        store.start_marking()
        fleet = ReadingFleet(store, BOUND_MS, INSTANCES, seed)
        starting = fleet.members[5]
        starting.client.access = door
        fleet.start()
        await asyncio.sleep(START_S)
        self.assertEqual(FIRST_UPSTREAMS + 1, len(starting.known))
        self.assertLess(await oldest_age_s([starting], 10.0), BOUND_S)
        fleet.stop()

    def test_who_wakes_is_up_to_date_within_the_bound(self):
        """Guards against an instance that acts on its view of before a freeze."""
        self.run_each_seed(self._freeze_watchers)

    async def _freeze_watchers(self, fleet: ReadingFleet) -> None:
        frozen = fleet.members[:2]
        freezes = [asyncio.create_task(member.freeze(10.0)) for member in frozen]
        self.assertLess(await oldest_age_s(fleet.members[2:], 10.0), BOUND_S)
        await asyncio.gather(*freezes)
        await asyncio.sleep(1.0)
        self.assertLess(await oldest_age_s(fleet.members, 6.0), BOUND_S)

    def test_views_stay_fresh_when_what_watchers_tell_comes_late(self):
        """Guards against readers that take late news for new ones, and wait once more.

        Who knows the age of its view asks as soon as that is its patience.
        """
        self.run_each_seed(self._delay_what_is_told)

    async def _delay_what_is_told(self, fleet: ReadingFleet) -> None:
        fleet.members[0].client.is_running.clear()
        for delay_s in (1.0, 2.0, 2.7):
            fleet.delays_s[1] = delay_s
            self.assertLess(await oldest_age_s(fleet.members[2:], 10.0), LONGEST_UNHEARD_S)


class SmallDataCentreTests(TestCase):
    """A few instances all read the store, and tell each other nothing unasked."""

    def test_who_is_turned_away_asks_its_peers(self):
        """Guards against an instance that knows no new upstream while its peers know them all."""
        for bound_ms in (3_000.0, 4_000.0):
            for door in (StoreAccess.REFUSING, StoreAccess.SILENT):
                for seed in SEEDS:
                    with self.subTest(bound_ms=bound_ms, door=door, seed=seed):
                        run_in_virtual_time(self._turn_one_away(bound_ms, door, seed))

    async def _turn_one_away(self, bound_ms: float, door: StoreAccess, seed: int) -> None:
        store = MarkedStore(upstream_count=150)
        store.start_marking()
        fleet = ReadingFleet(store, bound_ms, count=3, seed=seed)
        fleet.watchers = {0, 1, 2}
        fleet.has_readers = False
        fleet.start()
        await asyncio.sleep(START_S)
        fleet.members[2].client.access = door
        self.assertLess(await oldest_age_s(fleet.members, 12.0), bound_ms / 1000.0)
        fleet.stop()


class LoneInstanceTests(TestCase):
    """One instance reads the store for itself, as those of small data centres do."""

    def test_what_stands_in_the_store_is_known_within_the_bound_of_its_return(self):
        """Guards against an instance that still waits for a lost answer, or pauses for too long."""
        for bound_ms in (2_000.0, 3_000.0, 4_000.0, 5_000.0):
            for door in (StoreAccess.REFUSING, StoreAccess.SILENT):
                for half_seconds in range(1, 26):
                    away_s = half_seconds / 2.0
                    with self.subTest(bound_ms=bound_ms, door=door, away_s=away_s):
                        run_in_virtual_time(self._return_after(bound_ms, door, away_s))

    async def _return_after(self, bound_ms: float, door: StoreAccess, away_s: float) -> None:
        store = MarkedStore(upstream_count=20)
        store.start_marking()
        instance = ReadingInstance(store, bound_ms, seed=int(away_s * 2.0))
        task = asyncio.create_task(instance.follower.run())
        await asyncio.sleep(6.0 + away_s * 0.13)
        instance.client.access = door
        await asyncio.sleep(away_s)
        instance.client.access = StoreAccess.OPEN
        await asyncio.sleep(bound_ms / 1000.0)
        task.cancel()
        self.assertLess(instance.age_s, bound_ms / 1000.0)

    def test_configurations_in_quick_succession_are_in_force_within_the_bound(self):
        """Guards against a cut reply that is taken for whole, since only its size shows the cut."""
        run_in_virtual_time(self._follow_large_configurations())

    async def _follow_large_configurations(self) -> None:
        store = MarkedStore(upstream_count=20)
        store.start_marking()
        instance = ReadingInstance(store, BOUND_MS, seed=1)
        task = asyncio.create_task(instance.follower.run())
        await asyncio.sleep(6.0)
        writing = asyncio.create_task(store.write_large_configurations())
        self.assertLess(await oldest_age_s([instance], 20.0), BOUND_S)
        writing.cancel()
        task.cancel()
