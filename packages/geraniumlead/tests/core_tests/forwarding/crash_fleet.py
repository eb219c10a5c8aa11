"""Drive a fleet in virtual time whose upstreams crash under one request, again and again."""

from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import Enum
from heapq import heappop, heappush
from random import Random

from core_tests.forwarding.builders import (
    build_answer,
    build_configuration,
    build_fan_out,
    build_record,
    build_route,
)
from core_tests.forwarding.fleet_harness import FleetHarness, address_of
from core_tests.forwarding.harness import ForwarderHarness
from geraniumlead.forwarding import (
    ConfigurationSeen,
    NotReached,
    PossiblyExecuted,
    PublishedUpdates,
    StartAttempt,
    UpstreamSeen,
    UpstreamWithdrawn,
)
from geraniumlead.published_upstreams import UpstreamRecord

LOST = PossiblyExecuted("reset", is_connection_lost=True)
REFUSED = NotReached("refused")
UNREACHABLE = NotReached("timeout", is_timeout=True)

DATA_CENTRES = ("noord-a", "midden-a", "zuid-a")
SHARDS = 12
UPSTREAMS_OF_A_SHARD = 2
SINGLE_UPSTREAMS = 6

SINGLE_PATH = "/pages/"
QUERY_PATH = "/all/"
CRASHING = "crashing"
"""Last part of the paths of requests that crash upstreams."""

POPULAR = "popular"
"""Last part of the path of a harmless request that comes again and again."""

USUAL_REQUESTS = 5
"""Number of popular requests before the first crash."""

CONTACT_MS = 4_000.0
"""Time after the third crash within which a fleet may still send the request."""

WARM_UP_MS = 6_000.0
TRY_INTERVAL_MS = 300.0
ARRIVAL_MS = 5.0
WORK_MS = 30.0
CONNECT_TIMEOUT_MS = 250.0
LAPSE_MS = 1_500.0
DOWN_MS = 3_000.0


class Return(Enum):
    """How an upstream ends and comes back after a crash."""

    NEW_ID = "its connections are reset, and it returns under a new id"
    OLD_ID = "its connections are reset, and it returns under its old id"
    SILENT = "it falls silent, and returns under a new id"


@dataclass(slots=True)
class Upstream:
    """One upstream, and until when it is down."""

    record: UpstreamRecord
    down_until_ms: float = 0.0
    starts: int = 0
    open_attempts: list[tuple[ForwarderHarness, StartAttempt]] = field(default_factory=list)


@dataclass(slots=True)
class Try:
    """One try of a request by a caller."""

    key: int
    asked_ms: float
    member: ForwarderHarness
    is_crashing: bool
    reached: int = 0

    @property
    def reason(self) -> str | None:
        """Return the reason of the instance's own reply; empty for an answer, None for no reply."""
        reply = self.member.replies.get(self.key)
        return None if reply is None else getattr(reply, "reason", "")


class CrashFleet:
    """A fleet in three data centres, and upstreams that crash under a request.

    With ``crashing_service`` only the upstreams of that service crash.
    """

    def __init__(self, instances: int, seed: int = 1, returns: Return = Return.NEW_ID) -> None:
        self.random = Random(seed)
        self.returns = returns
        self.fleet = FleetHarness([DATA_CENTRES[n % 3] for n in range(instances)])
        self.addresses = [address_of(number) for number in range(instances)]
        self.crashing_service: str | None = None
        self.crashes_ms: list[float] = []
        self.tries: dict[str, Try] = {}
        self._read: dict[int, int] = defaultdict(int)
        self._events: list[tuple[float, int, tuple]] = []
        self._event_count = 0
        query = build_fan_out(SHARDS, prefix=QUERY_PATH, name="all")
        self._configuration = build_configuration(build_route(prefix=SINGLE_PATH), query)
        self.upstreams = {u.record.upstream_id: u for u in self._build_upstreams()}
        self.fleet.publish(self._snapshot())
        self.run_until(WARM_UP_MS)

    def _build_upstreams(self) -> list[Upstream]:
        # The upstreams of a shard are in two of the three data centres, so parts run at peers.
        shards = [
            build_record(f"s{n}.{k}", f"shard-{n}", data_centre=DATA_CENTRES[(n + k) % 3])
            for n in range(SHARDS)
            for k in range(UPSTREAMS_OF_A_SHARD)
        ]
        singles = [
            build_record(f"r{n}", data_centre=DATA_CENTRES[n % 3]) for n in range(SINGLE_UPSTREAMS)
        ]
        return [Upstream(replace(record, started_ms=0)) for record in shards + singles]

    def _snapshot(self) -> PublishedUpdates:
        seen = [UpstreamSeen(upstream.record) for upstream in self.upstreams.values()]
        return PublishedUpdates((ConfigurationSeen(self._configuration), *seen), True)

    def restart(self, address: str) -> None:
        """Replace an instance by a new process that has read the store."""
        member = self.fleet.restart(address, self.random.getrandbits(30))
        member.handle(self._snapshot())

    def ask(self, address: str, path: str, wait_ms: float = 1_000.0) -> Try:
        """Send a caller's request to an instance."""
        key = len(self.tries) + 1
        member = self.fleet.members[address]
        found = Try(key, self.fleet.now_ms, member, path.endswith(CRASHING))
        self.tries[f"request-{key}"] = found
        member.ask(key, path=path, target=path, wait_ms=wait_ms)
        self._read_attempts()
        return found

    def run_until(self, until_ms: float) -> None:
        while self.fleet.now_ms < until_ms:
            self.fleet.run_until(min(until_ms, self.fleet.now_ms + 10.0))
            self._read_attempts()
            while self._events and self._events[0][0] <= self.fleet.now_ms:
                _, _, event = heappop(self._events)
                self._handle(*event)
                self._read_attempts()

    def run_for(self, time_ms: float) -> None:
        self.run_until(self.fleet.now_ms + time_ms)

    def third_crash_ms(self) -> float:
        return self.crashes_ms[2] if len(self.crashes_ms) > 2 else float("inf")

    def late_tries(self) -> list[Try]:
        """Return the tries that reached upstreams later than a fleet needs to know better."""
        limit_ms = self.third_crash_ms() + CONTACT_MS
        return [
            found
            for found in self.tries.values()
            if found.is_crashing and found.reached and found.asked_ms > limit_ms
        ]

    def refusals(self, is_crashing: bool) -> list[Try]:
        """Return the tries that were refused since the request is said to crash upstreams."""
        return [
            found
            for found in self.tries.values()
            if found.is_crashing == is_crashing and found.reason == "crashes_upstreams"
        ]

    def end_data_centre(self, data_centre: str) -> None:
        """End all upstreams of a data centre at the same moment."""
        for upstream in list(self.upstreams.values()):
            if upstream.record.data_centre == data_centre:
                self.end_upstream(upstream)

    def end_service(self, service: str) -> None:
        """End all upstreams of a service, one shortly after the other."""
        for upstream in list(self.upstreams.values()):
            if upstream.record.service == service:
                self.end_upstream(upstream)
                self.run_for(20.0)

    def _schedule(self, in_ms: float, *event) -> None:
        self._event_count += 1
        heappush(self._events, (self.fleet.now_ms + in_ms, self._event_count, event))

    def _read_attempts(self) -> None:
        for member in self.fleet.members.values():
            started = member.started[self._read[id(member)] :]
            self._read[id(member)] += len(started)
            for attempt in started:
                self._send(member, attempt)

    def _send(self, member: ForwarderHarness, attempt: StartAttempt) -> None:
        upstream = self.upstreams.get(attempt.upstream.upstream_id)
        if upstream is None or self.fleet.now_ms < upstream.down_until_ms:
            if self.returns is Return.SILENT:
                self._schedule(CONNECT_TIMEOUT_MS, "end", member, attempt, UNREACHABLE)
            else:
                self._schedule(0.0, "end", member, attempt, REFUSED)
            return
        upstream.open_attempts.append((member, attempt))
        is_crash = attempt.request.path.endswith(CRASHING)
        if self.crashing_service is not None:
            is_crash = is_crash and upstream.record.service == self.crashing_service
        self.tries[attempt.request.request_id].reached += is_crash
        if is_crash:
            self._schedule(ARRIVAL_MS, "crash", upstream)
        else:
            self._schedule(WORK_MS, "answer", upstream, member, attempt)

    def _handle(self, kind: str, *details) -> None:
        match kind:
            case "end":
                self._end(*details)
            case "answer":
                self._answer(*details)
            case "crash":
                self._crash(*details)
            case "lapse":
                self.fleet.publish(PublishedUpdates((UpstreamWithdrawn(details[0]),), False))
            case "return":
                self._return(*details)

    def _end(self, member: ForwarderHarness, attempt: StartAttempt, result) -> None:
        if attempt.attempt_id not in member.cancelled:
            member.end(attempt, result)

    def _answer(self, upstream: Upstream, member: ForwarderHarness, attempt: StartAttempt) -> None:
        if (member, attempt) in upstream.open_attempts:
            upstream.open_attempts.remove((member, attempt))
            body = attempt.upstream.service.encode().rjust(16, b"0")
            self._end(member, attempt, build_answer(body, signature=attempt.upstream.service))

    def _crash(self, upstream: Upstream) -> None:
        if self.fleet.now_ms < upstream.down_until_ms:
            return
        self.crashes_ms.append(self.fleet.now_ms)
        self.end_upstream(upstream)

    def end_upstream(self, upstream: Upstream) -> None:
        """End an upstream, whatever the cause; it comes back after some seconds."""
        upstream.down_until_ms = self.fleet.now_ms + DOWN_MS
        attempts, upstream.open_attempts = upstream.open_attempts, []
        if self.returns is not Return.SILENT:
            for member, attempt in attempts:
                self._end(member, attempt, LOST)
        self._schedule(LAPSE_MS, "lapse", upstream.record.upstream_id)
        self._schedule(DOWN_MS, "return", upstream)

    def _return(self, upstream: Upstream) -> None:
        upstream.starts += 1
        old_id = upstream.record.upstream_id
        name = old_id.split("#")[0]
        new_id = old_id if self.returns is Return.OLD_ID else f"{name}#{upstream.starts}"
        started_ms = int(self.fleet.now_ms)
        upstream.record = replace(upstream.record, upstream_id=new_id, started_ms=started_ms)
        del self.upstreams[old_id]
        self.upstreams[new_id] = upstream
        self.fleet.publish(PublishedUpdates((UpstreamSeen(upstream.record),), False))


def ask_harmless(fleet: CrashFleet, path: str, time_ms: float) -> None:
    """Send popular requests and others that come once, for some time."""
    until_ms = fleet.fleet.now_ms + time_ms
    while fleet.fleet.now_ms < until_ms:
        for harmless in (POPULAR, f"other-{len(fleet.tries)}"):
            fleet.ask(fleet.random.choice(fleet.addresses), path + harmless)
            fleet.run_for(25.0)


def play_crashing_request(
    fleet: CrashFleet,
    path: str,
    tries: int,
    restarted_share: float = 0.1,
    cut_share: float = 0.05,
    cut_ms: float = 8_000.0,
    cut_rest_ms: float = 2_000.0,
    interval_ms: float = TRY_INTERVAL_MS,
) -> None:
    """Send a crashing request at random instances, beside harmless ones.

    A share of the tries is at instances that have just started. Another share of the instances is
    cut off from its peers in the first seconds and gets tries some time after it is back.
    """
    random = fleet.random
    for _ in range(USUAL_REQUESTS):
        fleet.ask(random.choice(fleet.addresses), path + POPULAR)
        fleet.run_for(TRY_INTERVAL_MS)
    began_ms = fleet.fleet.now_ms
    count = max(1, int(cut_share * len(fleet.addresses)))
    cut_off = set(random.sample(fleet.addresses[1:], count))
    fleet.fleet.silent |= cut_off
    for number in range(tries):
        now_ms = fleet.fleet.now_ms
        if now_ms >= began_ms + cut_ms:
            fleet.fleet.silent -= cut_off
        is_back = now_ms >= began_ms + cut_ms + cut_rest_ms
        address = random.choice([a for a in fleet.addresses if is_back or a not in cut_off])
        if is_back and number % 10 == 0:
            address = random.choice(sorted(cut_off))
        if random.random() < restarted_share:
            fleet.restart(address)
            fleet.run_for(TRY_INTERVAL_MS)
        fleet.ask(address, path + CRASHING)
        until_ms = fleet.fleet.now_ms + interval_ms
        for harmless in (POPULAR, f"other-{number}"):
            fleet.run_for(random.uniform(0.0, interval_ms / 2.0))
            fleet.ask(random.choice(fleet.addresses), path + harmless)
        fleet.run_until(until_ms)
