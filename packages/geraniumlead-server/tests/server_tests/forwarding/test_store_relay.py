"""Test how instances of one data centre tell each other what they read in the store."""

import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase

from geraniumlead.forwarding import ConfigurationSeen, PublishedUpdates, StoreLost, UpstreamSeen
from geraniumlead.peering import StoreUpdates, decode_peering, encode_peering
from geraniumlead_server.platform import StoreClient
from geraniumlead_server.store_duty import StoreDuty
from geraniumlead_server.store_follower import StoreFollower
from geraniumlead_standins.forwarding import StubStore, StubUpstream
from server_tests.forwarding.reading_fleet import build_routes

LONGEST_WAIT_S = 8.0
RELAY_BOUND_MS = 1_200.0
WATCHER = "entry-1"


class RelayTests(IsolatedAsyncioTestCase):
    """A watcher and a reader of one data centre follow the same store."""

    async def asyncSetUp(self):
        self.store = await StubStore().start()
        self.clients = [StoreClient(self.store.address), StoreClient(self.store.address)]
        self.seen: list = []
        self.is_cut = False
        self.reader_calls = 0
        self.entry = StubUpstream("x").entry("reader") | {"addr": "10.0.0.1:80"}
        reading = self.clients[1].watch

        async def counted_watch(*arguments):
            self.reader_calls += 1
            return await reading(*arguments)

        self.clients[1].watch = counted_watch
        reader_duty = StoreDuty(is_watcher=lambda: False)
        self.reader = self.build(self.clients[1], self.seen.append, reader_duty)
        self.watcher = self.build(
            self.clients[0], lambda event: None, self.telling_duty(self.relay)
        )
        self.tasks = [asyncio.create_task(f.run()) for f in (self.reader, self.watcher)]

    def telling_duty(self, relay) -> StoreDuty:
        return StoreDuty(has_readers=lambda: True, relay=relay)

    def build(self, client: StoreClient, report, duty: StoreDuty) -> StoreFollower:
        return StoreFollower(client, RELAY_BOUND_MS, report, Random(1), duty)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        for client in self.clients:
            await client.close()
        await self.store.stop()

    def relay(self, news) -> None:
        if not self.is_cut:
            message = decode_peering(encode_peering(news))
            self.reader.take_relayed(message, WATCHER)

    def known(self) -> set[str]:
        published = [event for event in self.seen if isinstance(event, PublishedUpdates)]
        items = [item for event in published for item in event.updates]
        return {item.record.upstream_id for item in items if isinstance(item, UpstreamSeen)}

    async def put_and_wait(self, name: str) -> float:
        began_s = asyncio.get_running_loop().time()
        self.store.put(f"servers/{name}", self.entry)
        async with asyncio.timeout(LONGEST_WAIT_S):
            while name not in self.known():
                await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time() - began_s

    async def test_a_reader_knows_of_changes_without_calls_of_its_own(self):
        await asyncio.sleep(0.2)
        for number in range(6):
            await self.put_and_wait(f"i-{number}")
        self.assertLessEqual(self.reader_calls, 1)

    async def test_heartbeats_are_not_passed_on(self):
        await self.put_and_wait("i-1")
        before = len([event for event in self.seen if event.updates])
        for number in range(20):
            self.store.put("servers/i-1", self.entry | {"seq": number})
            await asyncio.sleep(0.02)
        await self.put_and_wait("i-2")
        self.assertEqual(before + 1, len([event for event in self.seen if event.updates]))

    async def test_a_reader_asks_itself_when_the_watchers_are_silent(self):
        """The watchers freeze or are cut off, and then an upstream begins to leave.

        A reader that went on waiting for them would send it work past the bound.
        """
        await self.put_and_wait("i-1")
        self.is_cut = True
        took_s = await self.put_and_wait("i-2")
        self.assertLess(took_s, RELAY_BOUND_MS / 1000.0)
        self.assertGreaterEqual(self.reader_calls, 1)

    async def test_a_gap_between_messages_is_closed_by_a_call(self):
        """One message of the watcher is lost; the next one begins after it."""
        await self.put_and_wait("i-1")
        self.is_cut = True
        self.store.put("servers/i-2", self.entry)
        await asyncio.sleep(RELAY_BOUND_MS / 1000.0 / 3.0)
        self.is_cut = False
        took_s = await self.put_and_wait("i-3")
        self.assertLess(took_s, RELAY_BOUND_MS / 1000.0)
        self.assertLessEqual({"i-1", "i-2", "i-3"}, self.known())

    async def test_a_reader_that_is_far_behind_does_not_wait_between_replies(self):
        """The watchers are silent, and changes fill the history.

        A reader waited for them between the replies that the store had cut, and followed a
        configuration of five seconds ago.
        """
        await self.put_and_wait("i-1")
        self.is_cut = True
        for number in range(1_600):
            self.store.put(f"servers/i-{number % 80}", self.entry | {"seq": number})
        took_s = await self.put_and_wait("last")
        self.assertLess(took_s, RELAY_BOUND_MS / 1000.0)

    async def test_a_watcher_that_is_turned_away_lives_on_what_others_read(self):
        """The store turns one watcher away. Its calls are refused, and priced all the same."""
        await self.put_and_wait("i-1")
        refused = StoreDuty(is_watcher=lambda: True)
        client = StoreClient(self.store.address)
        self.clients.append(client)
        lost: list = []
        third = self.build(client, lost.append, refused)
        task = asyncio.create_task(third.run())
        self.tasks.append(task)
        await asyncio.sleep(0.2)
        client._base = "http://127.0.0.1:1"
        both, self.relay_to = self.reader.take_relayed, third.take_relayed
        self.watcher._duty = self.telling_duty(
            lambda news: (both(news, WATCHER), self.relay_to(news, WATCHER))
        )
        for number in range(3):
            await self.put_and_wait(f"more-{number}")
        news = [e for e in lost if isinstance(e, PublishedUpdates) for _ in e.updates]
        self.assertGreaterEqual(len(news), 3)
        self.assertLessEqual(len([e for e in lost if isinstance(e, StoreLost)]), 2)

    async def test_readers_are_told_that_the_store_has_just_come_back(self):
        await self.put_and_wait("i-1")
        self.store.status = 503
        await asyncio.sleep(0.3)
        self.store.status = None
        await self.put_and_wait("i-2")
        told = [e for e in self.seen if isinstance(e, PublishedUpdates) and e.is_after_outage]
        self.assertTrue(told)

    async def test_a_reader_that_is_behind_an_outage_holds_what_lapsed_as_well(self):
        """A watcher read everything anew after an outage, so its next message begins after a gap.

        The reader closes the gap itself, and did not notice that the store was away.
        """
        await self.put_and_wait("i-1")
        self.is_cut = True
        revision = self.reader._revision
        self.store.put("servers/i-2", self.entry)
        self.reader.take_relayed(
            StoreUpdates(revision + 5, revision + 6, is_after_outage=True), WATCHER
        )
        async with asyncio.timeout(LONGEST_WAIT_S):
            while "i-2" not in self.known():
                await asyncio.sleep(0.01)
        self.assertTrue(
            any(e.is_after_outage for e in self.seen if isinstance(e, PublishedUpdates))
        )

    async def test_what_is_too_large_to_pass_on_is_read_at_once(self):
        """A large configuration comes; passed on to ten readers it would fill a slow link."""
        await self.put_and_wait("i-1")
        routes = build_routes(4_000)
        self.store.put("op/config", {"version": 5, "routes": routes, "services": []})
        async with asyncio.timeout(RELAY_BOUND_MS / 1000.0):
            while not self.configurations():
                await asyncio.sleep(0.01)
        self.assertGreaterEqual(self.reader_calls, 1)

    def configurations(self) -> list:
        return [
            item
            for event in self.seen
            for item in event.updates
            if isinstance(item, ConfigurationSeen)
        ]
