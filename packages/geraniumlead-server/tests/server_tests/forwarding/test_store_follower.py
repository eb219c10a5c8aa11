"""Test how the store is followed, through its outages."""

import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase

from geraniumlead.forwarding import (
    PublishedUpdates,
    StoreLost,
    UpstreamSeen,
    UpstreamWithdrawn,
)
from geraniumlead.peering.store_read_state import FULL_READ_AFTER_MS
from geraniumlead_server.platform import StoreClient
from geraniumlead_server.store_duty import StoreDuty
from geraniumlead_server.store_follower import StoreFollower
from geraniumlead_standins.forwarding import StubStore, StubUpstream

LONGEST_WAIT_S = 8.0
BOUND_MS = 160.0


class StoreFollowerTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = await StubStore().start()
        self.client = StoreClient(self.store.address)
        self.seen: list = []
        self.seen_s: list[float] = []
        follower = StoreFollower(self.client, BOUND_MS, self.take, Random(1))
        self.entry = StubUpstream("x").entry("reader") | {"addr": "10.0.0.1:80"}
        self.task = asyncio.create_task(follower.run())

    async def asyncTearDown(self):
        self.task.cancel()
        await self.client.close()
        await self.store.stop()

    async def replace_follower(self, bound_ms: float) -> None:
        self.task.cancel()
        self.seen.clear()
        duty = StoreDuty(lacks_upstreams=lambda: not self.news(UpstreamSeen))
        follower = StoreFollower(self.client, bound_ms, self.take, Random(1), duty)
        self.task = asyncio.create_task(follower.run())

    def take(self, event) -> None:
        self.seen.append(event)
        self.seen_s.append(asyncio.get_running_loop().time())

    def regained_index(self) -> int:
        lost = max(i for i, event in enumerate(self.seen) if isinstance(event, StoreLost))
        return lost + 1

    async def wait_for(self, condition) -> None:
        async with asyncio.timeout(LONGEST_WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def snapshots(self) -> list[PublishedUpdates]:
        return [e for e in self.seen if isinstance(e, PublishedUpdates) and e.is_snapshot]

    def news(self, kind: type) -> list:
        published = [event for event in self.seen if isinstance(event, PublishedUpdates)]
        return [item for event in published for item in event.updates if isinstance(item, kind)]

    async def test_all_pages_are_read_and_then_every_change(self):
        for number in range(120):
            self.store.put(f"servers/i-{number:03}", self.entry)
        await self.wait_for(self.snapshots)
        self.assertEqual(120, len({item.record.upstream_id for item in self.news(UpstreamSeen)}))
        self.store.delete("servers/i-007")
        await self.wait_for(lambda: self.news(UpstreamWithdrawn))
        self.assertEqual([UpstreamWithdrawn("i-007")], self.news(UpstreamWithdrawn))

    async def test_a_forgotten_history_is_read_anew(self):
        await self.wait_for(self.snapshots)
        self.store.status = 503
        await self.wait_for(lambda: any(isinstance(event, StoreLost) for event in self.seen))
        self.store.put("servers/i-1", self.entry)
        self.store.discard_history()
        self.store.status = None
        await self.wait_for(lambda: len(self.snapshots()) == 2)
        self.assertEqual(1, len(self.news(UpstreamSeen)))

    async def test_a_store_without_any_history_is_not_asked_in_a_loop(self):
        """The store forgets everything at once, again and again.

        Each watch is refused and everything read anew; without a pause one instance alone
        would ask hundreds of times a second, and all pay for it and slow the store down.
        """
        await self.wait_for(self.snapshots)
        self.store.contents.oldest_revision = 10**9
        await asyncio.sleep(0.3)
        before = self.store.calls
        await asyncio.sleep(2.0)
        self.assertLessEqual(self.store.calls - before, 12)

    async def test_a_store_that_refuses_is_asked_ever_less(self):
        """The store turns this instance away for seconds.

        Asked again at once, all instances together would keep it from coming back.
        """
        self.store.status = 429
        await asyncio.sleep(0.2)
        before = self.store.calls
        await asyncio.sleep(2.0)
        self.assertLessEqual(self.store.calls - before, 6)

    async def test_one_that_is_far_behind_catches_up_at_once(self):
        """The store turns this instance away for seconds, and changes fill its history.

        The newest configuration is the last of 2,500 changes, of which a reply holds 500. With
        a pause after each reply it was in force after five pauses, past its bound, and callers
        were sent by old routes to upstreams that were leaving.
        """
        await self.replace_follower(bound_ms=4_000.0)
        await self.wait_for(self.snapshots)
        self.store.status = 429
        await self.wait_for(lambda: any(isinstance(event, StoreLost) for event in self.seen))
        for number in range(2_500):
            self.store.put(f"servers/i-{number % 80}", self.entry | {"seq": number})
        self.store.put("servers/last", self.entry)
        before = self.store.calls
        self.store.status = None
        await self.wait_for(
            lambda: "last" in {r.record.upstream_id for r in self.news(UpstreamSeen)}
        )
        self.assertLessEqual(self.store.calls - before, 8)
        first = self.regained_index()
        last = next(
            index
            for index, event in enumerate(self.seen)
            if isinstance(event, PublishedUpdates)
            and any(
                isinstance(n, UpstreamSeen) and n.record.upstream_id == "last"
                for n in event.updates
            )
        )
        self.assertLess(self.seen_s[last] - self.seen_s[first], 1.0)

    async def test_who_was_away_for_long_reads_the_state_and_not_its_history(self):
        """The store is away for seconds, in which starting upstreams changed several times.

        Their history takes a reply for each 500 changes; the state is read in far fewer.
        """
        await self.wait_for(self.snapshots)
        self.store.status = 503
        await asyncio.sleep(FULL_READ_AFTER_MS / 1000.0 + 0.3)
        self.store.status = None
        await self.wait_for(lambda: len(self.snapshots()) == 2)

    async def test_entries_that_come_back_after_an_outage_are_known_at_once(self):
        """The store comes back without entries, and upstreams publish themselves again.

        Known only a long pause later, requests to their services were refused meanwhile.
        """
        await self.replace_follower(bound_ms=20_000.0)
        await self.wait_for(self.snapshots)
        self.store.put("servers/back", self.entry)
        async with asyncio.timeout(1.5):
            await self.wait_for(lambda: self.news(UpstreamSeen))

    async def test_an_unreadable_entry_names_no_upstream(self):
        self.store.put("servers/i-1", self.entry)
        await self.wait_for(lambda: self.news(UpstreamSeen))
        self.store.put("servers/i-1", b"\xff")
        await self.wait_for(lambda: self.news(UpstreamWithdrawn))
