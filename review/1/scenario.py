"""A restarted entry instance takes a peer's answer to an earlier request for a new one's.

See claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import os
import random
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    HOST,
    Client,
    Entry,
    Record,
    Server,
    Store,
    check_merged,
    fail_setup,
    keep_heartbeats,
    new_request_id,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ZONES = {"braintree-yard": "mass-east", "holyoke-yard": "ct-valley", "dover-yard": "nh-seacoast"}
SHARDS = [f"desk-{number}" for number in range(20)]
SLOW_SHARDS = SHARDS[:5]
SLOW_FACTOR = 12.0
WORK_MS = 42.0
TOP_K = 20
LEAST_SHARE = 0.89
DEADLINE_MS = 2000
QUERIES_PER_S = 15.0
TROUBLE_S = 8.0
KILLS_AT_S = (0.7, 2.0, 3.3, 4.6, 5.9, 7.2)
RESTART_DELAY_S = 0.2

BOUNDS = {
    "drainMs": 3000,
    "configApplyMs": 3000,
    "evacMs": 5000,
    "graceS": 6,
    "budgetRatio": 0.2,
    "retrySlack": 52,
    "budgetWindowS": 10,
    "warmupFactor": 1.5,
    "warmupSlack": 5,
}

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-sweep",
            "hostname": HOST,
            "prefix": "/sweep/",
            "type": "safe",
            "timeoutMs": 2500,
            "latencyGoalMs": 247,
            "priority": 1,
            "maxAttempts": 2,
            "fanout": SHARDS,
            "topK": TOP_K,
            "oldestVersion": LEAST_SHARE,
        }
    ],
    "services": [
        {"name": name, "maxConns": 30, "healthPath": "/healthz", "warmupPerS": 0, "warmupS": 3}
        for name in SHARDS
    ],
    "limits": {
        "maxHeaderBytes": 8192,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 5000,
        "idleTimeoutMs": 10000,
    },
}


class Scenario:
    """Queries at a steady rate to three entry instances, one of which is killed and restarted."""

    def __init__(self, folder, record):
        self.record = record
        self.random = random.Random()
        self.store = Store()
        self.client = Client(record)
        self.servers = [
            Server(record, f"i-{shard}-{zone[0]}", shard, zone, WORK_MS)
            for shard in SHARDS
            for zone in ("braintree-yard", "holyoke-yard")
        ]
        self.folder = folder
        self.entries = []
        self.broken = []
        self.successes = 0
        self.answers = 0

    async def start(self):
        await self.store.start()
        for server in self.servers:
            await server.start()
            self.store.put(f"servers/{server.server_id}", server.entry())
        self.store.put("op/config", CONFIGURATION)
        self.entries = [
            Entry(self.folder, f"edge-{zone}-1", zone, ZONES, self.store.address, BOUNDS)
            for zone in ZONES
        ]
        for entry in self.entries:
            entry.seeds = [found.control for found in self.entries]
            await entry.start()
        for entry in self.entries:
            await entry.wait_until_ready()

    async def query(self, entry):
        """Send one query, and once more on a new connection if it got no success."""
        end_s = asyncio.get_running_loop().time() + DEADLINE_MS / 1000.0
        for _ in range(2):
            left_ms = int((end_s - asyncio.get_running_loop().time()) * 1000.0)
            if left_ms < 50:
                return
            request_id = new_request_id(self.random)
            path = f"/sweep/{request_id[:6]}"
            answer = await self.client.send(entry.front, path, request_id, left_ms)
            if answer is not None:
                self.answers += 1
            if answer is not None and answer[0] == 200:
                self.successes += 1
                self.judge(request_id, answer)
                return
            await asyncio.sleep(0.1)

    def judge(self, request_id, answer):
        _, headers, body = answer
        why = check_merged(request_id, headers, body, [SHARDS], TOP_K, LEAST_SHARE)
        if why is not None:
            self.broken.append(f"MIXED: request {request_id}: {why}")
            self.record.write("broken", rule="MIXED", request=request_id, why=why)

    async def ask_steadily(self, entry, for_s):
        """Send queries to one instance at random moments, at a steady mean rate."""
        loop = asyncio.get_running_loop()
        end_s, tasks = loop.time() + for_s, []
        while loop.time() < end_s:
            tasks.append(asyncio.ensure_future(self.query(entry)))
            await asyncio.sleep(self.random.expovariate(QUERIES_PER_S))
        await asyncio.gather(*tasks)

    async def trouble(self):
        """Slow both servers of a few shards, and kill one instance several times."""
        loop = asyncio.get_running_loop()
        began_s, victim = loop.time(), self.entries[-1]
        for server in self.servers:
            if server.service in SLOW_SHARDS:
                server.factor = SLOW_FACTOR
        self.record.write("slow", servers=2 * len(SLOW_SHARDS), factor=SLOW_FACTOR)
        for at_s in KILLS_AT_S:
            await asyncio.sleep(max(0.0, began_s + at_s - loop.time()))
            self.record.write("killed", node=victim.node)
            await victim.kill()
            await asyncio.sleep(RESTART_DELAY_S)
            await victim.start()
            await victim.wait_until_ready()
            self.record.write("ready", node=victim.node)
        await asyncio.sleep(max(0.0, began_s + TROUBLE_S - loop.time()))
        for server in self.servers:
            server.factor = 1.0

    async def run(self):
        await self.start()
        heartbeats = asyncio.ensure_future(keep_heartbeats(self.store, self.servers))
        try:
            await asyncio.sleep(5.0)
            # The victim has just begun to get queries, as at the start of a day.
            work = [asyncio.ensure_future(self.ask_steadily(entry, 12.0)) for entry in self.entries]
            if TROUBLE:
                await self.trouble()
            await asyncio.gather(*work)
        finally:
            heartbeats.cancel()
            for entry in self.entries:
                await entry.kill()


async def main():
    record = Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        scenario = Scenario(folder, record)
        try:
            async with asyncio.timeout(100.0):
                await scenario.run()
        except (TimeoutError, OSError) as error:
            return fail_setup(f"{type(error).__name__}: {error}")
        finally:
            for entry in scenario.entries:
                await entry.kill()
            if os.environ.get("KEEP_LOGS"):
                for entry in scenario.entries:
                    Path(os.environ["KEEP_LOGS"], entry.node + ".log").write_text(entry.read_log())
    print(f"{scenario.answers} answers, {scenario.successes} successes, trouble {TROUBLE}")
    for line in scenario.broken:
        print(line)
    record.write("end", successes=scenario.successes, broken=len(scenario.broken))
    record.close()
    if scenario.successes < 100:
        return fail_setup("hardly any query was served")
    return 1 if scenario.broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
