"""Drive a fleet in virtual time whose instances are slow, frozen or hard to reach.

It counts the upstreams of each shard that each request reaches, from whichever instance.
"""

from collections import defaultdict
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
from geraniumlead.forwarding import AttemptResult, NotReached, PossiblyExecuted, StartAttempt

REGIONS = {"noord-a": "noord", "midden-a": "midden", "zuid-a": "zuid"}
INSTANCES = 12
SHARDS = 45
"""More than an instance queries by itself."""

WORK_MS = 25.0
SLOW_FACTOR = 6.0
CONNECT_MS = 20.0
WAIT_MS = 1_000.0
GOAL_MS = 233.0
STEP_MS = 5.0
SETTLED_MS = 14_000.0
RECORDS = bytes([9]) * 16


class ShardAttemptFleet:
    """A fleet that queries an index of which each shard has some upstreams in each region.

    Attempts at the upstreams in ``down`` are refused. Those in ``slow`` take six times as long, and
    a share ``lost_share`` of the answers is lost with its connection.
    """

    def __init__(
        self, seed: int, upstreams_of_a_shard: int = 3, max_upstreams: int = 2, **settings
    ) -> None:
        self.random = Random(seed)
        self.max_upstreams = max_upstreams
        centres = sorted(REGIONS)
        self.fleet = FleetHarness(
            [centres[number % len(centres)] for number in range(INSTANCES)],
            regions=REGIONS,
            extra_slack=2_000.0,
            **settings,
        )
        self.addresses = [address_of(number) for number in range(INSTANCES)]
        self.upstream_ids = [
            f"s{shard}.{copy}" for shard in range(SHARDS) for copy in range(upstreams_of_a_shard)
        ]
        self.slow: set[str] = set()
        self.down: set[str] = set()
        self.lost_share = 0.0
        self.queries = 0
        self._reached: dict[tuple[str, str], set[str]] = defaultdict(set)
        self._senders: dict[tuple[str, str], set[int]] = defaultdict(set)
        self._processes: list[ForwarderHarness] = []
        self._read: list[int] = []
        self._answers: list[tuple[float, int, ForwarderHarness, StartAttempt, bool]] = []
        self._answer_count = 0
        route = build_fan_out(
            SHARDS,
            min_share=0.89,
            timeout_ms=WAIT_MS,
            latency_goal_ms=GOAL_MS,
            max_upstreams=max_upstreams,
        )
        records = [
            build_record(f"s{shard}.{copy}", f"shard-{shard}", data_centre=centres[copy % 3])
            for shard in range(SHARDS)
            for copy in range(upstreams_of_a_shard)
        ]
        self.updates = build_updates(build_configuration(route), *records)
        self.fleet.publish(self.updates)
        self.run_for(SETTLED_MS, queries_per_s=1.0)

    def slow_down_some(self, share: float) -> None:
        """Slow down a share of the upstreams, instead of those that were slow."""
        self.slow = set(self.random.sample(self.upstream_ids, int(share * len(self.upstream_ids))))

    def choose_instances(self, share: float) -> list[str]:
        """Return the addresses of a share of the instances."""
        return self.random.sample(self.addresses, max(1, int(share * len(self.addresses))))

    def run_for(self, time_ms: float, queries_per_s: float = 30.0) -> None:
        """Let time pass; callers send queries, and upstreams answer."""
        until_ms = self.fleet.now_ms + time_ms
        while self.fleet.now_ms < until_ms:
            self.fleet.run_until(min(until_ms, self.fleet.now_ms + STEP_MS))
            if self.random.random() < queries_per_s * STEP_MS / 1_000.0:
                self._send_query()
            while self._read_attempts() or self._answer_due():
                self.fleet.deliver()

    def requests_over(self) -> list[str]:
        """Return a description of each shard that a request sent to too many upstreams."""
        return [
            f"{request_id} {service}: {sorted(upstream_ids)}"
            for (request_id, service), upstream_ids in self._reached.items()
            if len(upstream_ids) > self.max_upstreams
        ]

    def shared_shards(self) -> int:
        """Return how often several instances sent attempts of one request for the same shard."""
        return sum(len(senders) > 1 for senders in self._senders.values())

    def _send_query(self) -> None:
        address = self.random.choice(self.addresses)
        if address in self.fleet.frozen:
            return
        self.queries += 1
        request_id = f"query-{self.queries}"
        self.fleet.members[address].ask(self.queries, wait_ms=WAIT_MS, request_id=request_id)

    def _read_attempts(self) -> bool:
        is_any_new = False
        for member in self.fleet.members.values():
            process = self._number_of(member)
            started = member.started[self._read[process] :]
            self._read[process] = len(member.started)
            for attempt in started:
                is_any_new = True
                self._record_attempt(process, attempt)
        return is_any_new

    def _number_of(self, member: ForwarderHarness) -> int:
        """Return the number of a process, which no later one gets."""
        for number, found in enumerate(self._processes):
            if found is member:
                return number
        self._processes.append(member)
        self._read.append(0)
        return len(self._processes) - 1

    def _record_attempt(self, process: int, attempt: StartAttempt) -> None:
        upstream_id = attempt.upstream.upstream_id
        work_ms = CONNECT_MS
        is_refused = upstream_id in self.down
        if not is_refused:
            key = attempt.request.request_id, attempt.upstream.service
            self._reached[key].add(upstream_id)
            self._senders[key].add(process)
            work_ms = WORK_MS * self.random.lognormvariate(0.0, 0.35)
            work_ms *= SLOW_FACTOR if upstream_id in self.slow else 1.0
        self._answer_count += 1
        due_ms, member = self.fleet.now_ms + work_ms, self._processes[process]
        heappush(self._answers, (due_ms, self._answer_count, member, attempt, is_refused))

    def _answer_due(self) -> bool:
        is_any_due = False
        held = []
        while self._answers and self._answers[0][0] <= self.fleet.now_ms:
            entry = heappop(self._answers)
            _, _, member, attempt, is_refused = entry
            if any(self.fleet.members[address] is member for address in self.fleet.frozen):
                held.append(entry)
                continue
            is_alive = any(found is member for found in self.fleet.members.values())
            if is_alive and attempt.attempt_id not in member.cancelled:
                is_any_due = True
                member.end(attempt, self._draw_result(attempt, is_refused))
        for entry in held:
            heappush(self._answers, entry)
        return is_any_due

    def _draw_result(self, attempt: StartAttempt, is_refused: bool) -> AttemptResult:
        if is_refused:
            return NotReached("refused")
        if self.random.random() < self.lost_share:
            return PossiblyExecuted("reset")
        signature = f"{attempt.upstream.service}@{attempt.request.request_id}"
        return build_answer(RECORDS, signature=signature)
