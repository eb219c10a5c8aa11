"""Test a whole process whose store has odd entries among those of the upstreams."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from server_tests.forwarding.platform_process import PlatformProcess

REQUESTS = 30
READ_WAIT_S = 1.0


class OddEntryTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = PlatformProcess()
        self.addAsyncCleanup(self.platform.stop)
        await self.platform.start()

    def put_odd_entries(self) -> None:
        entry = self.platform.pages[0].entry("pages")
        addresses = ("127.0.0.1:99999", "127.0.0.999:80", "127.0.0.1:\u0668\u0660", "127.0.0.1:0")
        for number, address in enumerate(addresses):
            self.platform.store.put(f"servers/odd-{number}", entry | {"addr": address})
        self.platform.store.put("servers/i-1\r\nX-Other: 1", entry)
        self.platform.store.put("servers/odd-slots", entry | {"slots": 10**18})

    async def test_odd_entries_cost_no_request_and_the_list_is_still_followed(self):
        """Guards against requests that fail since one odd entry of another writer got them."""
        self.put_odd_entries()
        await asyncio.sleep(READ_WAIT_S)
        for path in ("/book/1", "/pages/1"):
            for _ in range(REQUESTS):
                status, _, _ = await self.platform.send_request(path)
                self.assertEqual(200, status, path)
        events = [line["event"] for line in self.platform.read_log()]
        self.assertEqual(6, events.count("entry_skipped"))
        self.assertNotIn("crash_strike", events)
        for upstream in self.platform.pages:
            self.platform.store.put(
                f"servers/{upstream.upstream_id}", upstream.entry("pages", state="draining")
            )
        await asyncio.sleep(READ_WAIT_S)
        status, _, _ = await self.platform.send_request("/pages/1")
        self.assertEqual(503, status)
