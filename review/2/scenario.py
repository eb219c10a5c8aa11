"""A peer's restart is taken for an outage of the store, and gone servers are kept in use.

See claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import os
import random
import sys
import tempfile
import time
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
    fail_setup,
    new_request_id,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ZONES = {"braintree-yard": "mass-east", "quincy-yard": "mass-east", "salem-yard": "mass-east"}
INSTANCE_ZONES = ("braintree-yard", "quincy-yard", "salem-yard", "braintree-yard", "quincy-yard")
SERVICES = [f"portal-{number}" for number in range(5)]
SERVERS_PER_SERVICE = 4
CONTACT_S = 4.0
DRAIN_S = 3.0
MEASURING_SLACK_S = 0.05
"""How late the stand-in may notice that a request has reached it; not held against the instance."""

LINGER_S = 0.4
WARMUP_MS = 3000
HEARTBEAT_S = 1.2
REPLACE_INTERVAL_S = 1.2
SECOND_KILL_AFTER_S = 0.5
KILL_INTERVAL_S = 4.0
RESTART_DELAY_S = 0.5
REQUESTS_PER_S = 30.0
DEADLINE_MS = 4000
RUN_S = 60.0

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
            "name": f"r-{service}",
            "hostname": HOST,
            "prefix": f"/{service}/",
            "type": "unsafe",
            "timeoutMs": 4000,
            "latencyGoalMs": 1000,
            "priority": 2,
            "maxAttempts": 2,
            "service": service,
        }
        for service in SERVICES
    ],
    "services": [
        {"name": name, "maxConns": 48, "healthPath": "/healthz", "warmupPerS": 0, "warmupS": 3}
        for name in SERVICES
    ],
    "limits": {
        "maxHeaderBytes": 8192,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 5000,
        "idleTimeoutMs": 10000,
    },
}


class LeavingServer(Server):
    """A server that leaves without reporting that it drains, as some do.

    Its entry is removed; it goes on serving for the drain time and a little longer, and then ends.
    """

    def __init__(self, scenario, *arguments, **options):
        super().__init__(*arguments, **options)
        self._scenario = scenario
        self._listener = None
        self._writers = set()
        self.started_s = time.monotonic()
        self.removed_s = None

    async def start(self):
        self._listener = await asyncio.start_server(self._track, "127.0.0.1", 0, backlog=512)
        self.address = "127.0.0.1:%d" % self._listener.sockets[0].getsockname()[1]
        self.publish()
        asyncio.ensure_future(self._beat())

    def publish(self):
        """Write the entry, with the time for which the server stays slow after its start."""
        warm_ms = max(0, WARMUP_MS - int((time.monotonic() - self.started_s) * 1000.0))
        entry = {**self.entry(), "warmupLeftMs": warm_ms}
        self._scenario.store.put(f"servers/{self.server_id}", entry)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_listed:
                return
            self.publish()

    async def leave(self):
        """Be removed from the store, serve on for the drain time and a little longer, and end."""
        self.is_listed = False
        self._scenario.store.delete(f"servers/{self.server_id}")
        self.removed_s = time.monotonic()
        self.record.write("removed", server=self.server_id)
        await asyncio.sleep(DRAIN_S + LINGER_S)
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()
        self.record.write("ended", server=self.server_id)

    async def _track(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    def note_arrival(self, request_id):
        if self.removed_s is not None:
            self._scenario.judge(self, request_id)


class Scenario:
    """Requests at five instances of one region while servers are replaced one after the other."""

    def __init__(self, folder, record):
        self.record = record
        self.random = random.Random()
        self.store = Store()
        self.client = Client(record)
        self.folder = folder
        self.entries = []
        self.servers = {service: [] for service in SERVICES}
        self.started_s = {}
        self.sender_of = {}
        self.last_number = 0
        self.removed = 0
        self.served = 0
        self.late = {}
        self.lost = set()
        self.most_s = 0.0

    def judge(self, server, request_id):
        """Judge a request that reaches a server whose entry was removed."""
        after_s = time.monotonic() - server.removed_s
        sender = self.sender_of[request_id]
        if time.monotonic() - self.started_s.get(sender, time.monotonic()) < CONTACT_S:
            return
        self.most_s = max(self.most_s, after_s)
        if after_s > DRAIN_S + MEASURING_SLACK_S:
            self.late[request_id] = (server.server_id, sender, round(after_s, 3))
            self.record.write(
                "broken",
                rule="DRAIN",
                request=request_id,
                server=server.server_id,
                sender=sender,
                after_s=round(after_s, 3),
            )

    async def start_server(self, service):
        self.last_number += 1
        zone = list(ZONES)[self.last_number % len(ZONES)]
        name = f"i-{self.last_number}"
        server = LeavingServer(self, self.record, name, service, zone, 244.0, slots=6, queue=24)
        await server.start()
        self.servers[service].append(server)

    async def start(self):
        await self.store.start()
        for service in SERVICES:
            for _ in range(SERVERS_PER_SERVICE):
                await self.start_server(service)
        self.store.put("op/config", CONFIGURATION)
        self.entries = [
            await self.build_entry(f"edge-{zone}-{number}", zone)
            for number, zone in enumerate(INSTANCE_ZONES)
        ]
        for entry in self.entries:
            entry.seeds = [found.control for found in self.entries[:3]]
            await entry.start()
        for entry in self.entries:
            await entry.wait_until_ready()
            self.started_s[entry.node] = time.monotonic()

    async def build_entry(self, node, zone):
        """Return an instance with an address of the store of its own, which tells who reads."""
        address = await self.store.open_port(node)
        return Entry(self.folder, node, zone, ZONES, address, BOUNDS)

    async def replace_servers(self, service):
        """Replace the servers of a service one after the other: the new one starts first."""
        await asyncio.sleep(self.random.random() * REPLACE_INTERVAL_S)
        while True:
            await self.start_server(service)
            oldest = self.servers[service].pop(0)
            self.removed += 1
            asyncio.ensure_future(oldest.leave())
            await asyncio.sleep(REPLACE_INTERVAL_S * self.random.uniform(0.9, 1.1))

    async def send_requests(self, entry):
        while True:
            asyncio.ensure_future(self.send_request(entry))
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))

    async def send_request(self, entry):
        request_id = new_request_id(self.random)
        self.sender_of[request_id] = entry.node
        path = f"/{self.random.choice(SERVICES)}/{request_id[:6]}"
        answer = await self.client.send(
            entry.front, path, request_id, DEADLINE_MS, "POST", b"entry"
        )
        if answer is not None and answer[0] == 200:
            self.served += 1
        elif answer is not None and answer[0] in (502, 504) and request_id in self.late:
            self.lost.add(request_id)

    def find_reader(self, others):
        """Return the instance that read the store last, but for those given."""
        candidates = [entry for entry in self.entries if entry not in others]
        return max(candidates, key=lambda entry: self.store.last_read_s.get(entry.node, 0.0))

    async def kill_readers(self):
        """Kill the instance that read the store last, and the next such one soon after it."""
        while TROUBLE:
            first = self.find_reader([])
            await self.restart(first)
            await asyncio.sleep(SECOND_KILL_AFTER_S)
            await self.restart(self.find_reader([first]))
            await asyncio.sleep(KILL_INTERVAL_S)
        await asyncio.sleep(RUN_S)

    async def restart(self, entry):
        self.record.write("killed", node=entry.node)
        self.started_s.pop(entry.node)
        await entry.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        await entry.start()
        await entry.wait_until_ready()
        self.started_s[entry.node] = time.monotonic()
        self.record.write("ready", node=entry.node)

    async def run(self):
        await self.start()
        await asyncio.sleep(CONTACT_S + 1.0)
        work = [self.kill_readers()]
        work += [self.replace_servers(service) for service in SERVICES]
        work += [self.send_requests(entry) for entry in self.entries]
        tasks = [asyncio.ensure_future(found) for found in work]
        try:
            await asyncio.wait(tasks, timeout=RUN_S, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def main():
    record = Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        scenario = Scenario(folder, record)
        try:
            async with asyncio.timeout(115.0):
                await scenario.run()
        except (TimeoutError, OSError) as error:
            return fail_setup(f"{type(error).__name__}: {error}")
        finally:
            for entry in scenario.entries:
                await entry.kill()
            if os.environ.get("KEEP_LOGS"):
                for entry in scenario.entries:
                    Path(os.environ["KEEP_LOGS"], entry.node + ".log").write_text(entry.read_log())
    print(f"{scenario.served} served, {scenario.removed} servers removed, trouble {TROUBLE}")
    print(f"the latest request reached a removed server after {scenario.most_s:.3f} s")
    print(f"{len(scenario.late)} reached one later than {DRAIN_S + MEASURING_SLACK_S} s, {len(scenario.lost)} of them lost")
    for request_id, found in list(scenario.late.items())[:20]:
        print("DRAIN:", request_id, *found)
    record.write("end", late=len(scenario.late), lost=len(scenario.lost))
    record.close()
    if scenario.served < 500 or scenario.removed < 20:
        return fail_setup("hardly anything was served, or hardly any server left")
    return 1 if scenario.late else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
