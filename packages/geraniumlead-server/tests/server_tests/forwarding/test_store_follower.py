"""Test how the store is followed, through its outages."""

import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase

from geraniumlead.forwarding import PublishedNews, StoreLost, UpstreamSeen, UpstreamWithdrawn
from geraniumlead_server.platform import StoreClient
from geraniumlead_server.store_follower import StoreFollower
from geraniumlead_standins.forwarding import StubStore, StubUpstream

LONGEST_WAIT_S = 8.0
BOUND_MS = 160.0


class StoreFollowerTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = await StubStore().start()
        self.client = StoreClient(self.store.address)
        self.seen: list = []
        follower = StoreFollower(self.client, BOUND_MS, self.seen.append, Random(1))
        self.entry = StubUpstream("x").entry("reader") | {"addr": "10.0.0.1:80"}
        self.task = asyncio.create_task(follower.run())

    async def asyncTearDown(self):
        self.task.cancel()
        await self.client.close()
        await self.store.stop()

    async def wait_for(self, condition) -> None:
        async with asyncio.timeout(LONGEST_WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def snapshots(self) -> list[PublishedNews]:
        return [e for e in self.seen if isinstance(e, PublishedNews) and e.is_snapshot]

    def news(self, kind: type) -> list:
        published = [event for event in self.seen if isinstance(event, PublishedNews)]
        return [item for event in published for item in event.news if isinstance(item, kind)]

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
        self.store.forget_history()
        self.store.status = None
        await self.wait_for(lambda: len(self.snapshots()) == 2)
        self.assertEqual(1, len(self.news(UpstreamSeen)))

    async def test_a_store_without_any_history_is_not_asked_in_a_loop(self):
        """The store forgets everything at once, again and again.

        Each watch is refused and everything read anew; without a pause one instance alone
        would ask hundreds of times a second, and all pay for it and slow the store down.
        """
        await self.wait_for(self.snapshots)
        self.store.oldest = 10**9
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

    async def test_an_unreadable_entry_names_no_upstream(self):
        self.store.put("servers/i-1", self.entry)
        await self.wait_for(lambda: self.news(UpstreamSeen))
        self.store.put("servers/i-1", b"\xff")
        await self.wait_for(lambda: self.news(UpstreamWithdrawn))
