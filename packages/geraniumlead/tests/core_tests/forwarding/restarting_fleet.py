"""Drive a fleet in virtual time whose instances restart while they have queries at their peers."""

from dataclasses import dataclass
from hashlib import blake2b
from heapq import heappop, heappush
from random import Random

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_fan_out,
    build_record,
    build_updates,
)
from core_tests.forwarding.fleet_harness import FleetHarness, address_of
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import MergedReply, StartAttempt
from geraniumlead.forwarding.merge import merge_greatest

DATA_CENTRES = ("noord-a", "midden-a", "zuid-a")
SHARDS = 8
SLOW_SHARDS = 2
UPSTREAMS_OF_A_SHARD = 2
WORK_MS = 30.0
SLOW_WORK_MS = 700.0
WAIT_MS = 3_000.0
WARM_UP_MS = 6_000.0
STEP_MS = 10.0
RECORD_BYTES = 16

NOTICED_MS = 2_500.0
"""Time after a restart in which peers may still work for the process that is gone: they hear of the
new one within two heartbeats."""


@dataclass(slots=True)
class Query:
    """One query of a caller, and the process that it was sent to."""

    key: int
    address: str
    member: ForwarderHarness


class RestartingFleet:
    """A fleet of a few data centres, and upstreams that answer each request with its own data.

    ``wrong`` holds what callers got that was not of their own request. ``wasted`` holds the
    requests that upstreams still ran for a process that had long been gone.
    """

    def __init__(self, instances: int, seed: int) -> None:
        self.random = Random(seed)
        centres = DATA_CENTRES[: min(3, instances)]
        self.fleet = FleetHarness([centres[n % len(centres)] for n in range(instances)])
        self.addresses = [address_of(number) for number in range(instances)]
        self.queries: dict[str, Query] = {}
        self.wrong: list[str] = []
        self.wasted: list[str] = []
        self.answered = 0
        self._replaced_ms: dict[int, float] = {}
        self._replaced: list[ForwarderHarness] = []
        self._read: dict[int, int] = {}
        self._open: dict[tuple[int, int], str] = {}
        self._results: list[tuple[float, int, ForwarderHarness, StartAttempt]] = []
        self._result_count = 0
        route = build_fan_out(SHARDS, min_share=0.89, timeout_ms=WAIT_MS, latency_goal_ms=250.0)
        records = [
            build_record(f"s{n}.{k}", f"shard-{n}", data_centre=centres[(n + k) % len(centres)])
            for n in range(SHARDS)
            for k in range(min(UPSTREAMS_OF_A_SHARD, len(centres) - 1))
        ]
        self._updates = build_updates(build_configuration(route), *records)
        self.fleet.publish(self._updates)
        self.run_for(WARM_UP_MS)

    def disturb_messages(self, max_delay_ms: float) -> None:
        """Delay and reorder the messages between instances from now on, and double some."""
        self.fleet.disorder = Random(self.random.getrandbits(30))
        self.fleet.max_delay_ms = max_delay_ms

    def ask(self, address: str) -> None:
        """Send a caller's query to an instance."""
        key = len(self.queries) + 1
        member = self.fleet.members[address]
        self.queries[f"request-{key}"] = Query(key, address, member)
        member.ask(key, wait_ms=WAIT_MS)
        self._read_attempts()

    def restart(self, address: str) -> None:
        """Replace an instance by a new process, which has read the store."""
        gone = self.fleet.members[address]
        self._replaced.append(gone)
        self._replaced_ms[id(gone)] = self.fleet.now_ms
        self._open = {found: name for found, name in self._open.items() if found[0] != id(gone)}
        self.fleet.restart(address, self.random.getrandbits(30)).handle(self._updates)

    def run_for(self, time_ms: float) -> None:
        """Let time pass, and let upstreams answer."""
        until_ms = self.fleet.now_ms + time_ms
        while self.fleet.now_ms < until_ms:
            self.fleet.run_until(min(until_ms, self.fleet.now_ms + STEP_MS))
            self._read_attempts()
            while self._results and self._results[0][0] <= self.fleet.now_ms:
                _, _, member, attempt = heappop(self._results)
                self._answer(member, attempt)
                self._read_attempts()
            self._find_wasted()

    def judge(self) -> None:
        """Check each reply that a caller got against its own request."""
        for request_id, query in self.queries.items():
            reply = query.member.replies.get(query.key)
            if isinstance(reply, MergedReply):
                self.answered += 1
                self._judge_reply(request_id, reply)

    def _judge_reply(self, request_id: str, reply: MergedReply) -> None:
        named = [signature.split("@") for signature in reply.signatures]
        foreign = [name for _, name in named if name != request_id]
        if foreign:
            self.wrong.append(f"{request_id} got signatures of {sorted(set(foreign))}")
            return
        services = {service for service, _ in named}
        expected = merge_greatest((_records_of(name, request_id) for name in services), 3)
        if len(services) != len(named) or len(named) + reply.missing != SHARDS:
            self.wrong.append(f"{request_id} got {reply.signatures}")
        elif reply.records != expected:
            self.wrong.append(f"{request_id} got other records than its signatures name")

    def _read_attempts(self) -> None:
        for member in self.fleet.members.values():
            started = member.started[self._read.get(id(member), 0) :]
            self._read[id(member)] = len(member.started)
            for attempt in started:
                is_slow = attempt.upstream.service in SLOW_SERVICES
                work_ms = SLOW_WORK_MS if is_slow else WORK_MS
                due_ms = self.fleet.now_ms + work_ms * self.random.uniform(0.5, 2.0)
                self._result_count += 1
                heappush(self._results, (due_ms, self._result_count, member, attempt))
                self._open[id(member), attempt.attempt_id] = attempt.request.request_id
            for attempt_id in member.cancelled:
                self._open.pop((id(member), attempt_id), None)

    def _answer(self, member: ForwarderHarness, attempt: StartAttempt) -> None:
        if self._open.pop((id(member), attempt.attempt_id), None) is None:
            return
        service, request_id = attempt.upstream.service, attempt.request.request_id
        body = _records_of(service, request_id)
        member.end(attempt, build_answer(body, signature=f"{service}@{request_id}"))

    def _find_wasted(self) -> None:
        for request_id in self._open.values():
            gone_ms = self._replaced_ms.get(id(self.queries[request_id].member))
            if gone_ms is not None and self.fleet.now_ms - gone_ms > NOTICED_MS:
                self.wasted.append(request_id)


SLOW_SERVICES = {f"shard-{number}" for number in range(SLOW_SHARDS)}


def _records_of(service: str, request_id: str) -> bytes:
    """Return the record with which an upstream of a service answers a request."""
    return blake2b(f"{service}@{request_id}".encode(), digest_size=RECORD_BYTES).digest()


def play_restarts(
    fleet: RestartingFleet, restarts: int, queries_per_s: float, restarted: int = 1
) -> None:
    """Send queries at random to all instances while a few of them restart again and again."""
    for number in range(restarts):
        began_ms = fleet.fleet.now_ms
        while fleet.fleet.now_ms < began_ms + 700.0:
            fleet.ask(fleet.random.choice(fleet.addresses))
            fleet.run_for(max(STEP_MS, fleet.random.expovariate(queries_per_s) * 1_000.0))
        fleet.restart(fleet.addresses[number % restarted])
        for _ in range(3):
            fleet.ask(fleet.addresses[number % restarted])
    fleet.run_for(2.0 * WAIT_MS)
    fleet.judge()
