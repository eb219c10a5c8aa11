from heapq import heappop, heappush
from itertools import count
from random import Random

from geraniumlead.forwarding import (
    AttemptEnded,
    Completed,
    ConfigurationSeen,
    ForwardedRequest,
    Forwarder,
    ForwardingSettings,
    MergedReply,
    PublishedUpdates,
    RequestArrived,
    SendReply,
    StartAttempt,
    TimePassed,
    UpstreamSeen,
)
from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead.routes import (
    FanOut,
    PublishedConfiguration,
    Route,
    RouteTable,
    UpstreamService,
)
from geraniumlead_standins.bench.forwarding_bound.credit import Credit
from geraniumlead_standins.bench.forwarding_bound.load_model import (
    OWN_DATA_CENTRE,
    REGIONS,
    LoadModel,
)
from geraniumlead_standins.bench.forwarding_bound.upstream_model import NEVER_MS, UpstreamModel

HOST, PATH = "search.example", "/all/"
TIMEOUT_GOAL_FACTOR = 5.0
"""Timeout of a request, as a multiple of the latency goal."""

MAX_CONNECTIONS = 26
INSTANCES = 6

STARTED_MS = -30_000.0
"""Start of the process: it has run for some windows of the fleet's limits when requests come."""


class ForwarderRun:
    """A run of one settled forwarder with modelled upstreams, in virtual time.

    The caller has no round-trip time to the instance, and writing takes no time.
    """

    def __init__(self, load: LoadModel, seed: int) -> None:
        self._load = load
        self._upstreams = {u.upstream_id: u for u in load.build_upstreams(seed)}
        self._work_random = Random(f"{seed}/{load.name}/work")
        self._events: list[tuple[float, int, object]] = []
        self._order = count()
        self._arrived_ms: dict[int, float] = {}
        self._extra_attempts = 0
        self.credit = Credit()
        settings = ForwardingSettings(
            instance_id="entry-1",
            data_centre=OWN_DATA_CENTRE,
            address="10.0.0.1:1",
            regions=REGIONS,
            extra_share=0.2,
            extra_slack=50.0 / INSTANCES,
        )
        self._forwarder = Forwarder(settings, Random(seed), STARTED_MS)
        self._execute(self._forwarder.handle(self._build_updates(), 0.0), 0.0)
        for key, at_ms in enumerate(load.build_arrivals(seed), start=1):
            self._push(at_ms, self._build_request(key, at_ms))

    def run(self) -> Credit:
        """Process all events and return the credit of the callers."""
        while self._events or self._forwarder.next_wake_ms() < self._load.seconds * 1000.0:
            wake_ms = self._forwarder.next_wake_ms()
            if self._events and self._events[0][0] <= wake_ms:
                now_ms, _, event = heappop(self._events)
            else:
                now_ms, event = wake_ms, TimePassed()
            if isinstance(event, StartAttempt):
                self._start_work(event, now_ms)
                continue
            if isinstance(event, RequestArrived):
                self._arrived_ms[event.request.key] = now_ms
            self._execute(self._forwarder.handle(event, now_ms), now_ms)
        for _ in self._arrived_ms:
            self.credit.add_failed()
        self.credit.extra_attempts = self._extra_attempts
        return self.credit

    def _execute(self, actions: list, now_ms: float) -> None:
        for action in actions:
            match action:
                case StartAttempt(upstream=upstream):
                    round_trip_ms = self._load.round_trip_ms(upstream.data_centre)
                    self._push(now_ms + round_trip_ms / 2.0, action)
                    self._extra_attempts += 1
                case SendReply(key=key, reply=reply):
                    self._record_reply(key, reply, now_ms)

    def _start_work(self, attempt: StartAttempt, now_ms: float) -> None:
        model: UpstreamModel = self._upstreams[attempt.upstream.upstream_id]
        done_ms = model.finish_ms(now_ms, self._load.draw_work_ms(self._work_random))
        if done_ms < NEVER_MS:
            answer = Completed(200, (), bytes(16), model.service)
            round_trip_ms = self._load.round_trip_ms(model.data_centre)
            self._push(done_ms + round_trip_ms / 2.0, AttemptEnded(attempt.attempt_id, answer))

    def _record_reply(self, key: int, reply: object, now_ms: float) -> None:
        query_arrived_ms = self._arrived_ms.pop(key)
        self._extra_attempts -= self._load.shards
        match reply:
            case MergedReply(missing=missing):
                share = 1.0 - missing / self._load.shards
                self.credit.add(share, is_late=now_ms - query_arrived_ms > self._load.goal_ms)
            case _:
                self.credit.add_failed()

    def _push(self, at_ms: float, event: object) -> None:
        heappush(self._events, (at_ms, next(self._order), event))

    def _build_request(self, key: int, at_ms: float) -> RequestArrived:
        return RequestArrived(
            ForwardedRequest(
                key=key,
                request_id=f"request-{key}",
                method="GET",
                host=HOST,
                path=f"{PATH}{key}",
                target=f"{PATH}{key}",
                headers=(),
                body=b"",
                arrived_ms=at_ms,
                wait_ms=TIMEOUT_GOAL_FACTOR * self._load.goal_ms,
                caller_rtt_ms=0.0,
            )
        )

    def _build_updates(self) -> PublishedUpdates:
        load = self._load
        route = Route(
            name="all",
            host=HOST,
            prefix=PATH,
            target=FanOut(tuple(load.shard_names), 1, load.min_share),
            is_idempotent=True,
            timeout_ms=TIMEOUT_GOAL_FACTOR * load.goal_ms,
            latency_goal_ms=load.goal_ms,
            priority=1,
            max_upstreams=2,
            allowed_regions=frozenset(),
        )
        services = {name: UpstreamService(name, MAX_CONNECTIONS, 0.0) for name in load.shard_names}
        configuration = PublishedConfiguration(1, RouteTable([route]), services)
        records = [
            UpstreamSeen(
                UpstreamRecord(
                    u.upstream_id, u.service, u.upstream_id, u.data_centre, u.slots, True
                )
            )
            for u in self._upstreams.values()
        ]
        return PublishedUpdates((ConfigurationSeen(configuration), *records), is_snapshot=True)
