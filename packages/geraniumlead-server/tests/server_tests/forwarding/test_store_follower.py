"""Tests of the store follower, including outages of the store."""

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
from geraniumlead_server.store_callbacks import StoreCallbacks
from geraniumlead_server.store_follower import StoreFollower
from geraniumlead_standins.forwarding import StubStore, StubUpstream

MAX_WAIT_S = 8.0
BOUND_MS = 160.0


class StoreFollowerTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = await StubStore().start()
        self.client = StoreClient(self.store.address)
        self.seen: list = []
        self.seen_s: list[float] = []
        follower = StoreFollower(self.client, BOUND_MS, self.record_event, Random(1))
        self.entry = StubUpstream("x").entry("reader") | {"addr": "10.0.0.1:80"}
        self.task = asyncio.create_task(follower.run())

    async def asyncTearDown(self):
        self.task.cancel()
        await self.client.close()
        await self.store.stop()

    async def replace_follower(self, bound_ms: float) -> None:
        self.task.cancel()
        self.seen.clear()
        callbacks = StoreCallbacks(lacks_upstreams=lambda: not self.updates_of(UpstreamSeen))
        follower = StoreFollower(self.client, bound_ms, self.record_event, Random(1), callbacks)
        self.task = asyncio.create_task(follower.run())

    def record_event(self, event) -> None:
        self.seen.append(event)
        self.seen_s.append(asyncio.get_running_loop().time())

    def regained_index(self) -> int:
        lost = max(i for i, event in enumerate(self.seen) if isinstance(event, StoreLost))
        return lost + 1

    async def wait_for(self, condition) -> None:
        async with asyncio.timeout(MAX_WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def snapshots(self) -> list[PublishedUpdates]:
        return [e for e in self.seen if isinstance(e, PublishedUpdates) and e.is_snapshot]

    def updates_of(self, kind: type) -> list:
        published = [event for event in self.seen if isinstance(event, PublishedUpdates)]
        return [item for event in published for item in event.updates if isinstance(item, kind)]

    async def test_all_pages_and_every_later_change_are_read(self):
        for number in range(120):
            self.store.put(f"servers/i-{number:03}", self.entry)
        await self.wait_for(self.snapshots)
        self.assertEqual(
            120, len({item.record.upstream_id for item in self.updates_of(UpstreamSeen)})
        )
        self.store.delete("servers/i-007")
        await self.wait_for(lambda: self.updates_of(UpstreamWithdrawn))
        self.assertEqual([UpstreamWithdrawn("i-007")], self.updates_of(UpstreamWithdrawn))

    async def test_state_is_read_again_when_the_history_is_gone(self):
        await self.wait_for(self.snapshots)
        self.store.status = 503
        await self.wait_for(lambda: any(isinstance(event, StoreLost) for event in self.seen))
        self.store.put("servers/i-1", self.entry)
        self.store.discard_history()
        self.store.status = None
        await self.wait_for(lambda: len(self.snapshots()) == 2)
        self.assertEqual(1, len(self.updates_of(UpstreamSeen)))

    async def test_store_without_history_is_not_called_in_a_loop(self):
        """The store discards its history at once, again and again.

        Each watch is refused and the whole state read again; without a pause one instance alone
        would make hundreds of calls a second, which cost all instances and slow the store down.
        """
        await self.wait_for(self.snapshots)
        self.store.contents.oldest_revision = 10**9
        await asyncio.sleep(0.3)
        before = self.store.calls
        await asyncio.sleep(2.0)
        self.assertLessEqual(self.store.calls - before, 12)

    async def test_calls_to_a_rejecting_store_back_off(self):
        """The store rejects this instance's calls for seconds.

        Immediate retries of all instances together would keep the store from recovering.
        """
        self.store.status = 429
        await asyncio.sleep(0.2)
        before = self.store.calls
        await asyncio.sleep(2.0)
        self.assertLessEqual(self.store.calls - before, 6)

    async def test_follower_far_behind_catches_up_without_pauses(self):
        """The store rejects this instance's calls for seconds, and changes fill its history.

        The newest configuration is the last of 2,500 changes, of which a reply holds 500. With
        a pause after each reply it takes effect after five pauses, later than its bound allows,
        and callers are sent by old routes to upstreams that are leaving.
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
            lambda: "last" in {r.record.upstream_id for r in self.updates_of(UpstreamSeen)}
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

    async def test_state_is_read_after_a_long_outage(self):
        """The store is unavailable for seconds while starting upstreams change several times.

        Their history takes one reply for each 500 changes; the state takes far fewer.
        """
        await self.wait_for(self.snapshots)
        self.store.status = 503
        await asyncio.sleep(FULL_READ_AFTER_MS / 1000.0 + 0.3)
        self.store.status = None
        await self.wait_for(lambda: len(self.snapshots()) == 2)

    async def test_entries_that_return_after_an_outage_are_read_soon(self):
        """The store recovers without entries, and upstreams publish themselves again.

        If they were read only after a long pause, requests to their services would be refused.
        """
        await self.replace_follower(bound_ms=20_000.0)
        await self.wait_for(self.snapshots)
        self.store.put("servers/back", self.entry)
        async with asyncio.timeout(1.5):
            await self.wait_for(lambda: self.updates_of(UpstreamSeen))

    async def test_unreadable_entry_withdraws_its_upstream(self):
        self.store.put("servers/i-1", self.entry)
        await self.wait_for(lambda: self.updates_of(UpstreamSeen))
        self.store.put("servers/i-1", b"\xff")
        await self.wait_for(lambda: self.updates_of(UpstreamWithdrawn))
