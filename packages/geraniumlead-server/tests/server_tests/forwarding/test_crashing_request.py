"""Test a request that crashes its upstreams, at two daemons as processes."""

import asyncio
from time import monotonic, time
from unittest import IsolatedAsyncioTestCase

from geraniumlead_standins.forwarding import StubUpstream, UpstreamFault
from server_tests.forwarding.platform_process import PlatformProcess

CRASH_PATH = "/pages/crashing"
DOWN_S = 0.5
TRY_INTERVAL_S = 0.25
CONTACT_S = 4.0
"""Time after the third crash within which the instances may still send the request."""

MAX_LATE_TRIES = 3
PLAY_S = 9.0
MAX_TELLING_S = 5.0
"""Time within which a new process has to be told of the request, as all peers that are in touch."""


class CrashingRequestTests(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.first = PlatformProcess()
        self.addAsyncCleanup(self.first.stop)
        await self.first.start()
        self.second = PlatformProcess(
            instance_id="entry-noord-2",
            store=self.first.store.address,
            seeds=[self.first.listen["peers"]],
        )
        self.addAsyncCleanup(self.second.stop)
        await self.second.start_daemon()
        self.crashed_s: list[float] = []
        for upstream in self.first.pages:
            upstream.fault = UpstreamFault.RESET
            task = asyncio.create_task(self.crash(upstream))
            self.addCleanup(task.cancel)

    async def crash(self, upstream: StubUpstream) -> None:
        """End an upstream each time it ran the request; it returns soon, under its old id."""
        while True:
            if upstream.ran:
                await self.restart(upstream)
            await asyncio.sleep(0.005)

    async def restart(self, upstream: StubUpstream) -> None:
        self.crashed_s.append(monotonic())
        upstream.ran.clear()
        port = int(upstream.address.split(":")[1])
        await upstream.stop()
        await asyncio.sleep(DOWN_S)
        await upstream.start(port)
        entry = upstream.entry("pages", born=int(time() * 1000.0))
        self.first.store.put(f"servers/{upstream.upstream_id}", entry)

    async def send(self, platform: PlatformProcess) -> int:
        crashes = len(self.crashed_s)
        status, _, _ = await platform.send_request(CRASH_PATH)
        await asyncio.sleep(0.05)
        is_late = crashes >= 3 and monotonic() - self.crashed_s[2] > CONTACT_S
        self.late_tries += is_late and len(self.crashed_s) > crashes
        return status

    def count_notices(self) -> int:
        """Return how often a peer told the second instance what was new to it."""
        return [line["event"] for line in self.second.read_log()].count("crash_notice")

    async def test_two_upstreams_that_return_under_their_ids_are_not_crashed_for_ever(self):
        """Guards against strikes that two upstreams never make three of, and a new process."""
        self.late_tries = 0
        began_s = monotonic()
        number = 0
        while monotonic() - began_s < PLAY_S:
            number += 1
            await self.send((self.first, self.second)[number % 2])
            await asyncio.sleep(TRY_INTERVAL_S)
        await self.second.stop_daemon()
        told = self.count_notices()
        await self.second.start_daemon()
        async with asyncio.timeout(MAX_TELLING_S):
            while self.count_notices() == told:
                await asyncio.sleep(0.01)
        statuses = [await self.send(self.second) for _ in range(3)]
        self.assertGreaterEqual(len(self.crashed_s), 3)
        self.assertLessEqual(self.late_tries, MAX_LATE_TRIES)
        self.assertEqual([503, 503, 503], statuses)
