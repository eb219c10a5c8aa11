"""Test upstreams and stores whose answers do not end, over loopback and at a whole process."""

import asyncio
from pathlib import Path
from time import monotonic
from unittest import IsolatedAsyncioTestCase

from geraniumlead.forwarding import AttemptEnded, Deadline, ForwardedRequest, StartAttempt
from geraniumlead.forwarding.results import PossiblyExecuted
from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead_server.answer_memory import AnswerMemory
from geraniumlead_server.forwarding_client import AttemptClient
from geraniumlead_server.platform import StoreClient
from geraniumlead_server.platform.store_client import StoreError
from server_tests.forwarding.endless_upstream import Endless, EndlessUpstream
from server_tests.forwarding.platform_process import PlatformProcess

ATTEMPT_MS = 8_000.0
MAX_ATTEMPT_S = 4.0
"""Less than the attempt has: its end does not come from its deadline."""

MAX_SENT_BYTES = 64 * 1024 * 1024
"""What one connection may take, with the buffers of the kernel on both sides."""

MAX_GROWTH_KB = 80 * 1024
MAX_OTHER_REQUEST_S = 1.5
REQUESTS = 12


class EndlessAttemptTests(IsolatedAsyncioTestCase):
    async def attempt(self, mode: Endless) -> tuple[object, EndlessUpstream, AnswerMemory]:
        upstream = await EndlessUpstream(mode).start()
        self.addAsyncCleanup(upstream.stop)
        ended: asyncio.Future[AttemptEnded] = asyncio.get_running_loop().create_future()
        memory = AnswerMemory()
        client = AttemptClient(ended.set_result, memory)
        self.addAsyncCleanup(client.close)
        now_ms = asyncio.get_running_loop().time() * 1000.0
        request = ForwardedRequest(
            1, "r-1", "GET", "search.example", "/pages/1", "/pages/1", (), b"", now_ms, ATTEMPT_MS
        )
        record = UpstreamRecord("i-1", "pages", upstream.address, "noord-a", 2, True)
        deadline = Deadline(now_ms + ATTEMPT_MS, now_ms + ATTEMPT_MS)
        client.start(StartAttempt(1, record, request, deadline))
        event = await asyncio.wait_for(ended, MAX_ATTEMPT_S)
        await upstream.wait_until_closed()
        return event.result, upstream, memory

    async def test_answers_without_end_fail_and_their_connections_are_closed(self):
        """Guards against one upstream that takes all memory of the instance that called it."""
        for mode in Endless:
            with self.subTest(mode=mode.name):
                result, upstream, memory = await self.attempt(mode)
                self.assertIsInstance(result, PossiblyExecuted)
                self.assertLess(upstream.sent_bytes, MAX_SENT_BYTES)
                self.assertEqual(0, memory.total_bytes)

    async def test_an_answer_that_was_too_long_is_no_crash_of_the_upstream(self):
        """Guards against a request that is refused since one upstream answers too much."""
        result, _, _ = await self.attempt(Endless.CHUNKED_BODY)
        self.assertEqual(PossiblyExecuted("answer too long"), result)

    async def test_a_store_without_end_is_a_failed_read(self):
        """Guards against a reply of the store that takes all memory of every instance."""
        for mode in Endless:
            with self.subTest(mode=mode.name):
                store = await EndlessUpstream(mode).start()
                self.addAsyncCleanup(store.stop)
                client = StoreClient(store.address)
                self.addAsyncCleanup(client.close)
                with self.assertRaises(StoreError):
                    await asyncio.wait_for(client.read_all(ATTEMPT_MS), MAX_ATTEMPT_S)
                await store.wait_until_closed()
                self.assertLess(store.sent_bytes, MAX_SENT_BYTES)


class EndlessUpstreamOfAProcessTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = PlatformProcess()
        self.addAsyncCleanup(self.platform.stop)
        await self.platform.start()

    async def replace_upstreams(self, mode: Endless) -> EndlessUpstream:
        """Let both addresses of the service belong to an endless upstream."""
        endless = await EndlessUpstream(mode).start()
        self.addAsyncCleanup(endless.stop)
        for upstream in self.platform.pages:
            entry = upstream.entry("pages") | {"addr": endless.address}
            self.platform.store.put(f"servers/{upstream.upstream_id}", entry)
        await asyncio.sleep(1.0)
        return endless

    def read_peak_kb(self) -> int:
        """Return the largest resident memory that the process has had."""
        status = Path(f"/proc/{self.platform.process.pid}/status").read_text()
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(line.split()[1])

    async def test_memory_stays_bounded_and_other_requests_keep_their_time(self):
        """Guards against one bad upstream that ends each instance that calls it."""
        for mode in (Endless.CHUNKED_BODY, Endless.BODY_WITHOUT_LENGTH, Endless.INTERIM_ANSWERS):
            with self.subTest(mode=mode.name):
                endless = await self.replace_upstreams(mode)
                before_kb = self.read_peak_kb()
                calls = [self.platform.send_request("/pages/1") for _ in range(REQUESTS)]
                pages = asyncio.gather(*calls)
                began_s = monotonic()
                status, _, _ = await self.platform.send_request("/search/1")
                took_s = monotonic() - began_s
                statuses = {found for found, _, _ in await pages}
                self.assertEqual(200, status)
                self.assertLess(took_s, MAX_OTHER_REQUEST_S)
                self.assertLessEqual(statuses, {502, 503, 504})
                self.assertGreater(endless.requests, 0)
                self.assertLess(self.read_peak_kb() - before_kb, MAX_GROWTH_KB)
                await endless.wait_until_closed()
