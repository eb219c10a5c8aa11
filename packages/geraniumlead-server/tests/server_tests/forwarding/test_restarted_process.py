"""Test an instance that is killed and started again while a peer has its queries, as processes."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from geraniumlead_standins.forwarding import StubUpstream
from server_tests.forwarding.platform_process import HOST, MAX_WAIT_S, PlatformProcess

SEARCH_ROUTE = {
    "name": "search",
    "hostname": HOST,
    "prefix": "/search/",
    "type": "safe",
    "timeoutMs": 3000,
    "latencyGoalMs": 500,
    "maxAttempts": 2,
    "fanout": ["shard-0", "shard-1", "shard-2", "shard-3"],
    "topK": 2,
    "oldestVersion": 0.5,
}
REGIONS = {"noord-a": "noord", "midden-a": "midden"}
WORK_S = 1.5
"""Longer than the new process needs until it has queries of its own."""

DISCOVERY_S = 2.5
STARTED_S = 0.3
HELLO_S = 0.1


class RestartedProcessTests(IsolatedAsyncioTestCase):
    """The shards are in the data centre of the second instance, which asks them for the first."""

    async def asyncSetUp(self):
        seeds: list[str] = []
        self.first = PlatformProcess(data_centres=REGIONS, seed=1, seeds=seeds)
        self.first.shards += [StubUpstream(f"i-shard-{number}") for number in (7, 9)]
        self.addAsyncCleanup(self.first.stop)
        await self.first.start()
        self.first.publish(
            routes=[SEARCH_ROUTE],
            services=[{"name": name, "maxConns": 26} for name in SEARCH_ROUTE["fanout"]],
        )
        for number, shard in enumerate(self.first.shards):
            entry = shard.entry(f"shard-{number}", "midden-a", slots=20)
            self.first.store.put(f"servers/{shard.upstream_id}", entry)
        self.second = PlatformProcess(
            instance_id="entry-midden-1",
            data_centre="midden-a",
            data_centres=REGIONS,
            store=self.first.store.address,
            seeds=[self.first.listen["peers"]],
        )
        self.addAsyncCleanup(self.second.stop)
        await self.second.start_daemon()
        seeds.append(self.second.listen["peers"])
        await asyncio.sleep(DISCOVERY_S)
        for shard in self.first.shards:
            shard.delay_s = WORK_S

    async def query(self, request_id: str) -> list[str]:
        """Send a query; return the signatures in its reply."""
        headers = {"Request-Id": request_id, "Deadline-Ms": "4000"}
        status, headers, _ = await self.first.send_request("/search/x", headers=headers)
        return headers["Part-Stamps"].split(", ") if status == 200 else []

    async def started_incarnations(self, count: int) -> set[int]:
        """Return the incarnations that the first instance has logged, after so many starts."""
        async with asyncio.timeout(MAX_WAIT_S):
            while True:
                lines = [line for line in self.first.read_log() if line["event"] == "started"]
                if len(lines) == count:
                    return {line["incarnation"] for line in lines}
                await asyncio.sleep(0.01)

    async def test_the_data_of_an_earlier_process_is_not_handed_out(self):
        """Guards against a late reply that is taken for the reply to a new process's query."""
        lost = asyncio.gather(self.query("lost"), return_exceptions=True)
        await asyncio.sleep(STARTED_S)
        self.assertEqual(1, len(self.first.shards[0].ran))
        self.first.process.kill()
        await lost
        await self.first.start_daemon()
        await asyncio.sleep(HELLO_S)
        signatures = await self.query("new")
        self.assertEqual(len(self.first.shards), len(signatures))
        for signature in signatures:
            self.assertTrue(signature.endswith(".new"), signature)
        errors = [line for line in self.second.read_log() if line["level"] == "error"]
        self.assertEqual([], errors)

    async def test_a_process_that_starts_from_the_same_seed_is_another_one(self):
        """Guards against a restart that nobody notices, since the setting of a seed repeats all."""
        self.first.process.kill()
        await self.first.process.wait()
        await self.first.start_daemon()
        self.assertEqual(2, len(await self.started_incarnations(2)))
