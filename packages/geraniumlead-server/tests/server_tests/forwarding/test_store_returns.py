"""Test that a removed upstream is not used for long, and that no outage takes live ones away."""

import asyncio
from unittest import TestCase

from geraniumlead_standins.forwarding import StoreAccess
from server_tests.forwarding.lapsing_fleet import LapsingStore, UsingFleet
from server_tests.forwarding.reading_fleet import run_in_virtual_time

BOUND_MS = 3_000.0
LONG_BOUND_MS = 8_000.0
UPSTREAMS = 12
START_S = 8.0
PLAY_S = 30.0
REPLACE_INTERVAL_S = 0.6
SIZES = (5, 7, 18, 85, 195)
OUTAGES_S = (0.5, 2.0, 3.0, 4.5, 12.0, 30.0)
AFTER_OUTAGE_S = 5.0


async def start_fleet(size: int, bound_ms: float, seed: int = 1) -> UsingFleet:
    store = LapsingStore(UPSTREAMS, seed)
    store.start_renewing()
    fleet = UsingFleet(store, bound_ms, size, seed)
    fleet.start()
    await asyncio.sleep(START_S)
    return fleet


class RemovalTests(TestCase):
    """Upstreams are taken away while the store answers, and some instance is in trouble."""

    def assert_in_bound(self, size: int, bound_ms: float, trouble, seed: int = 1) -> None:
        async def play() -> None:
            fleet = await start_fleet(size, bound_ms, seed)
            tasks = [
                asyncio.create_task(fleet.store.replace_upstreams(REPLACE_INTERVAL_S)),
                asyncio.create_task(trouble(fleet)),
            ]
            longest_s = await fleet.longest_use_s(PLAY_S)
            for task in tasks:
                task.cancel()
            fleet.stop()
            self.assertGreater(len(fleet.store.removed_s), PLAY_S)
            self.assertLess(longest_s, bound_ms / 1000.0)
            if bound_ms == BOUND_MS:
                # The first instance is cut off in one test, and cannot know better.
                self.assertEqual(0, sum(member.held_reads for member in fleet.members[1:]))

        run_in_virtual_time(play())

    def test_a_restarted_reader_does_not_delay_removals(self):
        """Guards against an instance's first read that its peers take for the end of an outage."""
        for size in SIZES:
            for bound_ms in (BOUND_MS, LONG_BOUND_MS):
                with self.subTest(size=size, bound_ms=bound_ms):
                    self.assert_in_bound(size, bound_ms, lambda fleet: fleet.restart_readers(1.5))

    def test_a_reader_that_the_store_turns_away_does_not_delay_removals(self):
        """Guards against the failed calls of one instance that hold removals up at all others."""

        async def turn_away(fleet: UsingFleet) -> None:
            while True:
                fleet.set_access(StoreAccess.REFUSING, [0])
                await asyncio.sleep(0.3)
                fleet.set_access(StoreAccess.OPEN, [0])
                await asyncio.sleep(1.5)

        for size in SIZES[:3]:
            for bound_ms in (BOUND_MS, LONG_BOUND_MS):
                with self.subTest(size=size, bound_ms=bound_ms):
                    self.assert_in_bound(size, bound_ms, turn_away)

    def test_a_cut_reader_that_returns_does_not_delay_removals_at_others(self):
        """Guards against an instance that was cut off alone, and reports an outage to all."""

        async def cut(fleet: UsingFleet) -> None:
            others = range(1, len(fleet.members))
            while True:
                fleet.set_access(StoreAccess.SILENT, [0])
                fleet.lost = {(0, n) for n in others} | {(n, 0) for n in others}
                fleet.members[0].started_s = float("inf")
                await asyncio.sleep(5.0)
                fleet.set_access(StoreAccess.OPEN, [0])
                fleet.lost = set()
                fleet.members[0].started_s = asyncio.get_running_loop().time()
                await asyncio.sleep(3.0)

        for size in SIZES[:3]:
            with self.subTest(size=size):
                self.assert_in_bound(size, BOUND_MS, cut)

    def test_a_forgotten_history_does_not_delay_removals(self):
        """Guards against a whole read that is taken for the end of an outage."""

        async def forget(fleet: UsingFleet) -> None:
            while True:
                fleet.store.contents.discard_history()
                await asyncio.sleep(1.0)

        for size in SIZES[:3]:
            with self.subTest(size=size):
                self.assert_in_bound(size, BOUND_MS, forget)


class OutageTests(TestCase):
    """The store is away for all instances, and entries of live upstreams lapse meanwhile."""

    def assert_none_lost(
        self,
        size: int,
        bound_ms: float,
        outage_s: float,
        access: StoreAccess,
        restarts_s: tuple[float, ...] = (),
        seed: int = 1,
        forgets: bool = False,
    ) -> None:
        """Check that every instance that knew the upstreams before an outage goes on using them.

        ``restarts_s`` are the times from the begin of the outage at which a reader restarts.
        """

        async def play() -> None:
            fleet = await start_fleet(size, bound_ms, seed)
            began_s = asyncio.get_running_loop().time()
            judged = [m for n, m in enumerate(fleet.members) if not restarts_s or n > 0]
            restarts = asyncio.create_task(self._restart(fleet, began_s, restarts_s))
            await asyncio.sleep(3.0)
            fleet.store.is_away = True
            fleet.set_access(access)
            await asyncio.sleep(outage_s)
            if forgets:
                fleet.store.contents.discard_history()
            fleet.set_access(StoreAccess.OPEN)
            back = asyncio.create_task(fleet.store.come_back())
            lost = await fleet.lost_upstreams(AFTER_OUTAGE_S, judged)
            restarts.cancel()
            await back
            fleet.stop()
            self.assertEqual(set(), lost)

        run_in_virtual_time(play())

    async def _restart(
        self, fleet: UsingFleet, began_s: float, restarts_s: tuple[float, ...]
    ) -> None:
        for at_s in restarts_s:
            await asyncio.sleep(max(0.0, began_s + 3.0 + at_s - asyncio.get_running_loop().time()))
            access = fleet.members[0].client.access
            await fleet.restart(0)
            fleet.members[0].client.access = access

    def test_no_live_upstream_is_lost_after_an_outage(self):
        """Guards against a fleet that forgets live upstreams whose entries could not be renewed."""
        for access in (StoreAccess.DOWN, StoreAccess.SILENT):
            for outage_s in OUTAGES_S:
                for size, bound_ms in ((1, BOUND_MS), (5, BOUND_MS), (18, LONG_BOUND_MS)):
                    with self.subTest(access=access, outage_s=outage_s, size=size):
                        self.assert_none_lost(size, bound_ms, outage_s, access)

    def test_no_live_upstream_is_lost_if_the_store_returns_without_its_history(self):
        """Guards against an outage that is forgotten when the first answer is that of a gap."""
        for access in (StoreAccess.DOWN, StoreAccess.SILENT):
            for outage_s in OUTAGES_S[2:]:
                for bound_ms in (BOUND_MS, LONG_BOUND_MS):
                    with self.subTest(access=access, outage_s=outage_s, bound_ms=bound_ms):
                        self.assert_none_lost(7, bound_ms, outage_s, access, forgets=True)

    def test_no_live_upstream_is_lost_if_no_call_failed_in_the_outage(self):
        """Guards against an outage between two reads, which only the readers' silence shows."""
        for seed in range(1, 7):
            for outage_s in (4.2, 4.5):
                with self.subTest(seed=seed, outage_s=outage_s):
                    self.assert_none_lost(
                        18, LONG_BOUND_MS, outage_s, StoreAccess.SILENT, seed=seed
                    )

    def test_no_live_upstream_is_lost_after_an_outage_in_a_large_fleet(self):
        """Guards against a fleet that forgets live upstreams whose entries could not be renewed."""
        for size in (85, 195):
            with self.subTest(size=size):
                self.assert_none_lost(size, LONG_BOUND_MS, 6.0, StoreAccess.SILENT)

    def test_readers_that_restart_around_an_outage_lose_no_upstream(self):
        """Guards against a reader without history whose updates take live upstreams away."""
        for access in (StoreAccess.DOWN, StoreAccess.SILENT):
            for outage_s in (4.5, 12.0):
                for restarts_s in ((-1.0,), (1.0,), (outage_s - 0.3,), (outage_s + 0.2,)):
                    for bound_ms in (BOUND_MS, LONG_BOUND_MS):
                        with self.subTest(
                            access=access,
                            outage_s=outage_s,
                            restarts_s=restarts_s,
                            bound_ms=bound_ms,
                        ):
                            self.assert_none_lost(7, bound_ms, outage_s, access, restarts_s)

    def test_an_upstream_that_does_not_return_is_forgotten_soon(self):
        """Guards against a hold that each message of the outage begins anew."""

        async def play() -> None:
            fleet = await start_fleet(7, BOUND_MS)
            fleet.store.is_away = True
            fleet.set_access(StoreAccess.DOWN)
            await asyncio.sleep(6.0)
            dead = next(iter(fleet.store.live()))
            fleet.store.remove(dead)
            fleet.set_access(StoreAccess.OPEN)
            back = asyncio.create_task(fleet.store.come_back())
            tasks = [asyncio.create_task(fleet.store.replace_upstreams(REPLACE_INTERVAL_S))]
            longest_s = await fleet.longest_use_s(10.0)
            for task in (*tasks, back):
                task.cancel()
            fleet.stop()
            self.assertLess(longest_s, MAX_FORGETTING_S)

        run_in_virtual_time(play())


MAX_FORGETTING_S = 3.6
"""Two seconds after the return of the store is known everywhere, which may take half of the bound.
"""
