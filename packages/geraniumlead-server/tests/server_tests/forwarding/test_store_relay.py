"""Tests of how instances of one data centre relay what they read from the store."""

import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase

from geraniumlead.forwarding import ConfigurationSeen, PublishedUpdates, StoreLost, UpstreamSeen
from geraniumlead.peering import StoreUpdates, decode_peering, encode_peering
from geraniumlead_server.platform import StoreClient
from geraniumlead_server.store_callbacks import StoreCallbacks
from geraniumlead_server.store_follower import StoreFollower
from geraniumlead_standins.forwarding import StubStore, StubUpstream
from server_tests.forwarding.reading_fleet import build_routes

MAX_WAIT_S = 8.0
RELAY_BOUND_MS = 1_200.0
WATCHER = "entry-1"
OUTAGE_S = 2.7
"""Longer than entries need to lapse."""


class RelayTests(IsolatedAsyncioTestCase):
    """A watcher and a reader of one data centre follow the same store."""

    async def asyncSetUp(self):
        self.store = await StubStore().start()
        self.clients = [StoreClient(self.store.address), StoreClient(self.store.address)]
        self.seen: list = []
        self.drops_messages = False
        self.reader_calls = 0
        self.entry = StubUpstream("x").entry("reader") | {"addr": "10.0.0.1:80"}
        watch = self.clients[1].watch

        async def counted_watch(*arguments):
            self.reader_calls += 1
            return await watch(*arguments)

        self.clients[1].watch = counted_watch
        reader_callbacks = StoreCallbacks(is_watcher=lambda: False)
        self.reader = self.build(self.clients[1], self.seen.append, reader_callbacks)
        self.watcher = self.build(
            self.clients[0], lambda event: None, self.relaying_callbacks(self.relay)
        )
        self.tasks = [asyncio.create_task(f.run()) for f in (self.reader, self.watcher)]

    def relaying_callbacks(self, relay) -> StoreCallbacks:
        return StoreCallbacks(has_readers=lambda: True, relay=relay)

    def build(self, client: StoreClient, report, callbacks: StoreCallbacks) -> StoreFollower:
        return StoreFollower(client, RELAY_BOUND_MS, report, Random(1), callbacks)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        for client in self.clients:
            await client.close()
        await self.store.stop()

    def relay(self, updates) -> None:
        if not self.drops_messages:
            message = decode_peering(encode_peering(updates))
            self.reader.handle_relayed(message, WATCHER)

    def known(self) -> set[str]:
        published = [event for event in self.seen if isinstance(event, PublishedUpdates)]
        items = [item for event in published for item in event.updates]
        return {item.record.upstream_id for item in items if isinstance(item, UpstreamSeen)}

    async def put_and_wait(self, name: str) -> float:
        began_s = asyncio.get_running_loop().time()
        self.store.put(f"servers/{name}", self.entry)
        async with asyncio.timeout(MAX_WAIT_S):
            while name not in self.known():
                await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time() - began_s

    async def test_reader_receives_changes_without_calls_of_its_own(self):
        await asyncio.sleep(0.2)
        for number in range(6):
            await self.put_and_wait(f"i-{number}")
        self.assertLessEqual(self.reader_calls, 1)

    async def test_heartbeats_are_not_relayed(self):
        await self.put_and_wait("i-1")
        before = len([event for event in self.seen if event.updates])
        for number in range(20):
            self.store.put("servers/i-1", self.entry | {"seq": number})
            await asyncio.sleep(0.02)
        await self.put_and_wait("i-2")
        self.assertEqual(before + 1, len([event for event in self.seen if event.updates]))

    async def test_reader_calls_the_store_when_the_watchers_are_silent(self):
        """The watchers freeze or are isolated, and then an upstream begins to leave.

        A reader that kept waiting for them would send requests to it for longer than the bound.
        """
        await self.put_and_wait("i-1")
        self.drops_messages = True
        delay_s = await self.put_and_wait("i-2")
        self.assertLess(delay_s, RELAY_BOUND_MS / 1000.0)
        self.assertGreaterEqual(self.reader_calls, 1)

    async def test_a_gap_between_messages_is_closed_by_a_call(self):
        """One message of the watcher is lost; the next one starts at a later revision."""
        await self.put_and_wait("i-1")
        self.drops_messages = True
        self.store.put("servers/i-2", self.entry)
        await asyncio.sleep(RELAY_BOUND_MS / 1000.0 / 3.0)
        self.drops_messages = False
        delay_s = await self.put_and_wait("i-3")
        self.assertLess(delay_s, RELAY_BOUND_MS / 1000.0)
        self.assertLessEqual({"i-1", "i-2", "i-3"}, self.known())

    async def test_reader_far_behind_does_not_wait_between_replies(self):
        """The watchers are silent, and changes fill the history.

        If a reader waits for them between the truncated replies of the store, it uses a
        configuration that is five seconds old.
        """
        await self.put_and_wait("i-1")
        self.drops_messages = True
        for number in range(1_600):
            self.store.put(f"servers/i-{number % 80}", self.entry | {"seq": number})
        delay_s = await self.put_and_wait("last")
        self.assertLess(delay_s, RELAY_BOUND_MS / 1000.0)

    async def test_rejected_watcher_uses_updates_of_others(self):
        """The store rejects one watcher. Its calls cost as much as if they were answered."""
        await self.put_and_wait("i-1")
        watcher_callbacks = StoreCallbacks(is_watcher=lambda: True)
        client = StoreClient(self.store.address)
        self.clients.append(client)
        events: list = []
        third = self.build(client, events.append, watcher_callbacks)
        task = asyncio.create_task(third.run())
        self.tasks.append(task)
        await asyncio.sleep(0.2)
        client._base_url = "http://127.0.0.1:1"
        relay_to_reader, self.relay_to_third = self.reader.handle_relayed, third.handle_relayed
        self.watcher._callbacks = self.relaying_callbacks(
            lambda updates: (
                relay_to_reader(updates, WATCHER),
                self.relay_to_third(updates, WATCHER),
            )
        )
        for number in range(3):
            await self.put_and_wait(f"more-{number}")
        updates = [e for e in events if isinstance(e, PublishedUpdates) for _ in e.updates]
        self.assertGreaterEqual(len(updates), 3)
        self.assertLessEqual(len([e for e in events if isinstance(e, StoreLost)]), 2)

    async def test_readers_are_notified_that_the_store_has_just_recovered(self):
        await self.put_and_wait("i-1")
        self.store.status = 503
        await asyncio.sleep(OUTAGE_S)
        self.store.status = None
        await self.put_and_wait("i-2")
        self.assertTrue(self.told_of_outage())

    async def test_readers_are_not_told_of_failed_calls_in_which_no_entry_lapses(self):
        """Guards against removals that are held up since one call or a few of them failed."""
        await self.put_and_wait("i-1")
        self.store.status = 503
        await asyncio.sleep(0.3)
        self.store.status = None
        await self.put_and_wait("i-2")
        self.assertFalse(self.told_of_outage())

    def told_of_outage(self) -> bool:
        """Return whether the reader has held removals up for an outage."""
        found = [event for event in self.seen if isinstance(event, PublishedUpdates)]
        return any(event.returned_age_ms is not None for event in found)

    async def test_reader_behind_a_gap_learns_of_the_outage(self):
        """A watcher reads the whole state after an outage, so its next message follows a gap.

        The reader closes the gap with a call of its own, and has not noticed the outage.
        """
        await self.put_and_wait("i-1")
        self.drops_messages = True
        revision = self.reader._revision
        self.store.put("servers/i-2", self.entry)
        self.reader._call_state._known_ms -= OUTAGE_S * 1000.0
        self.reader.handle_relayed(
            StoreUpdates(revision + 5, revision + 6, is_after_outage=True, returned_age_ms=0.0),
            WATCHER,
        )
        async with asyncio.timeout(MAX_WAIT_S):
            while "i-2" not in self.known():
                await asyncio.sleep(0.01)
        self.assertTrue(self.told_of_outage())

    async def test_configuration_too_large_to_relay_is_read_at_once(self):
        """A large configuration that is relayed to ten readers would saturate a slow link."""
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
