"""Drive a fleet in virtual time whose upstreams are slow while instances restart."""

from collections import Counter, defaultdict
from collections.abc import Sequence
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
from geraniumlead.forwarding import StartAttempt

REGIONS = {"noord-a": "noord", "midden-a": "midden", "zuid-a": "zuid"}
SHARDS = 4
SLOW_SHARD = "shard-0"
UPSTREAMS_OF_A_SHARD = 3
WORK_MS = 30.0
SLOW_FACTOR = 12.0
WAIT_MS = 2_000.0
GOAL_MS = 249.0
SHARE = 0.2
SLACK = 186.0
WINDOW_MS = 10_000.0
STEP_MS = 10.0
SETTLED_MS = 14_000.0
"""Time after which instances know each other and have run for a window."""

RECORDS = bytes([9]) * 16


class ExtraAttemptFleet:
    """A fleet that queries an index of which one shard has no sound upstream.

    Each attempt at an upstream counts as an arrival, whatever becomes of it.
    """

    def __init__(self, instances: int, seed: int, queries_per_s: float = 50.0) -> None:
        self.random = Random(seed)
        centres = sorted(REGIONS)
        self.fleet = FleetHarness(
            [centres[number % len(centres)] for number in range(instances)],
            regions=REGIONS,
            extra_share=SHARE,
            extra_slack=SLACK,
            extra_window_ms=WINDOW_MS,
        )
        self.addresses = [address_of(number) for number in range(instances)]
        self.asked_ms: list[float] = []
        self.is_slow = False
        self._queries_per_s = queries_per_s
        self._next_query_ms = SETTLED_MS
        self._arrived: set[tuple[str, str]] = set()
        self._extra_ms: dict[str, list[float]] = defaultdict(list)
        self._read: dict[int, int] = {}
        self._answers: list[tuple[float, int, ForwarderHarness, StartAttempt]] = []
        self._answer_count = 0
        route = build_fan_out(SHARDS, min_share=0.7, timeout_ms=WAIT_MS, latency_goal_ms=GOAL_MS)
        records = [
            build_record(f"s{shard}.{copy}", f"shard-{shard}", data_centre=centres[copy])
            for shard in range(SHARDS)
            for copy in range(UPSTREAMS_OF_A_SHARD)
        ]
        self._updates = build_updates(build_configuration(route), *records)
        self.fleet.publish(self._updates)
        self.run_for(SETTLED_MS)

    def restart(self, addresses: Sequence[str]) -> None:
        """Replace instances by new processes, which have read the store."""
        for address in addresses:
            self.fleet.restart(address, self.random.getrandbits(30)).handle(self._updates)

    def run_for(self, time_ms: float) -> None:
        """Let time pass; callers send queries, and upstreams answer."""
        until_ms = self.fleet.now_ms + time_ms
        while self.fleet.now_ms < until_ms:
            self.fleet.run_until(min(until_ms, self.fleet.now_ms + STEP_MS))
            self._send_queries()
            while self._read_attempts() or self._answer_due():
                self.fleet.deliver()

    def worst_use(self) -> tuple[float, str]:
        """Return the largest part of the bound that any service got, and a description."""
        worst = (0.0, "none sent")
        for service, extra_ms in self._extra_ms.items():
            for end_ms in extra_ms:
                sent = _count_between(extra_ms, end_ms - WINDOW_MS, end_ms)
                asked = max(
                    _count_between(self.asked_ms, end_ms - back_ms - WINDOW_MS, end_ms - back_ms)
                    for back_ms in (0.0, WINDOW_MS / 2.0, WINDOW_MS)
                )
                allowed = SHARE * asked + SLACK
                text = f"{service}: {sent} beyond the first for {asked}, allowed {allowed:.0f}"
                worst = max(worst, (sent / allowed, text))
        return worst

    def extra_attempts(self) -> Counter[str]:
        """Return how many attempts each service got beyond the first of each query."""
        return Counter({service: len(times) for service, times in self._extra_ms.items()})

    def _send_queries(self) -> None:
        while self._next_query_ms <= self.fleet.now_ms:
            self.asked_ms.append(self.fleet.now_ms)
            address = self.random.choice(self.addresses)
            self.fleet.members[address].ask(len(self.asked_ms), wait_ms=WAIT_MS)
            self._next_query_ms += self.random.expovariate(self._queries_per_s) * 1_000.0

    def _read_attempts(self) -> bool:
        is_any_new = False
        for member in self.fleet.members.values():
            started = member.started[self._read.get(id(member), 0) :]
            self._read[id(member)] = len(member.started)
            for attempt in started:
                is_any_new = True
                self._record_arrival(member, attempt)
        return is_any_new

    def _record_arrival(self, member: ForwarderHarness, attempt: StartAttempt) -> None:
        service, now_ms = attempt.upstream.service, self.fleet.now_ms
        arrival = (service, attempt.request.request_id)
        if arrival in self._arrived:
            self._extra_ms[service].append(now_ms)
        self._arrived.add(arrival)
        work_ms = WORK_MS * self.random.lognormvariate(0.0, 0.35)
        if self.is_slow and service == SLOW_SHARD:
            work_ms *= SLOW_FACTOR
        self._answer_count += 1
        heappush(self._answers, (now_ms + work_ms, self._answer_count, member, attempt))

    def _answer_due(self) -> bool:
        is_any_due = False
        while self._answers and self._answers[0][0] <= self.fleet.now_ms:
            _, _, member, attempt = heappop(self._answers)
            is_alive = member in self.fleet.members.values()
            if is_alive and attempt.attempt_id not in member.cancelled:
                is_any_due = True
                signature = f"{attempt.upstream.service}@{attempt.request.request_id}"
                member.end(attempt, build_answer(RECORDS, signature=signature))
        return is_any_due


def _count_between(times_ms: Sequence[float], after_ms: float, until_ms: float) -> int:
    return sum(1 for time_ms in times_ms if after_ms < time_ms <= until_ms)
