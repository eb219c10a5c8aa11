from dataclasses import dataclass
from random import Random

from geraniumlead.forwarding import (
    AttemptEnded,
    CancelAttempt,
    Completed,
    ConfigurationSeen,
    ForwardedRequest,
    ForwardingAction,
    MergedReply,
    PeerMessageReceived,
    PublishedUpdates,
    RequestArrived,
    SendReply,
    StartAttempt,
    UpstreamSeen,
)
from geraniumlead.peering.outgoing_peer_message import OutgoingPeerMessage
from geraniumlead_standins.bench.fleet_load.instance import ModelInstance
from geraniumlead_standins.bench.fleet_load.load import (
    HOST,
    PEEK,
    SWEEP,
    FleetLoad,
    QueryKind,
    build_record,
    draw_work_ms,
)
from geraniumlead_standins.bench.forwarding_bound.upstream_model import NEVER_MS
from geraniumlead_standins.virtual import EventQueue

HANDSHAKE_MS = 6.0
"""Time for which opening a connection occupies a slot of an upstream."""

KINDS = {kind.path: kind for kind in (SWEEP, PEEK)}


@dataclass(slots=True)
class QueryOutcome:
    """The outcome of one query.

    ``latency_ms`` is None without an answer. ``share`` is the share of the shards in the answer.
    """

    sent_ms: float
    kind: QueryKind
    latency_ms: float | None = None
    share: float = 0.0

    @property
    def credit(self) -> float:
        """Return the credit of the query."""
        if self.latency_ms is None:
            return 0.0
        return self.share**2 * (1.0 if self.latency_ms <= self.kind.goal_ms else 0.1)


class FleetRun:
    """A run of one load: its instances, their messages, upstreams and callers."""

    def __init__(self, load: FleetLoad, seed: int) -> None:
        self._load = load
        self._queue = EventQueue()
        self._random = Random(f"{seed}/work")
        self._cancelled: set[tuple[str, int]] = set()
        models = load.build_upstreams(Random(f"{seed}/upstreams"))
        self._upstreams = {model.upstream_id: model for model in models}
        self.outcomes: dict[int, QueryOutcome] = {}
        self.subrequests = 0
        self.instances = [
            ModelInstance(number, load, self._queue, self._execute, seed)
            for number in range(load.instances)
        ]
        self._by_address = {instance.address: instance for instance in self.instances}
        updates = (ConfigurationSeen(load.build_configuration()),)
        updates += tuple(UpstreamSeen(build_record(model)) for model in models)
        for instance in self.instances:
            instance.enqueue(PublishedUpdates(updates, is_snapshot=True), 0.0)
        dead = load.choose_dead(Random(f"{seed}/dead"))
        if load.fault is not None:
            self._queue.add(load.fault.from_ms, lambda: self._kill(dead))
        queries = load.build_queries(Random(f"{seed}/queries"), dead)
        for key, (at_ms, number, kind) in enumerate(queries, start=1):
            self._queue.add(at_ms, lambda k=key, n=number, q=kind: self._send_query(k, n, q))

    def run(self) -> "FleetRun":
        """Run until two seconds after the last queries, and return the run itself."""
        self._queue.run_until(self._load.end_ms + 2_000.0)
        return self

    @property
    def connections_per_subrequest(self) -> float:
        """Return the number of connections opened per subrequest sent."""
        opened = sum(instance.connections.opened for instance in self.instances)
        return opened / max(1, self.subrequests)

    def credit(self, from_ms: float, to_ms: float, kind: QueryKind | None = None) -> float:
        """Return the mean credit of the queries sent in a time interval."""
        found = [
            outcome.credit
            for outcome in self.outcomes.values()
            if from_ms <= outcome.sent_ms < to_ms and kind in (None, outcome.kind)
        ]
        return sum(found) / len(found) if found else 0.0

    def _kill(self, numbers: set[int]) -> None:
        for number in numbers:
            self.instances[number].is_dead = True

    def _send_query(self, key: int, number: int, kind: QueryKind) -> None:
        now_ms = self._queue.now_ms
        self.outcomes[key] = QueryOutcome(now_ms, kind)
        request = ForwardedRequest(
            key=key,
            request_id=f"request-{key}",
            method="GET",
            host=HOST,
            path=f"{kind.path}{key}",
            target=f"{kind.path}{key}",
            headers=(),
            body=b"",
            arrived_ms=now_ms,
            wait_ms=kind.wait_ms,
            caller_rtt_ms=0.0,
        )
        self.instances[number].enqueue(RequestArrived(request), self._load.costs.query_ms)

    def _execute(self, instance: ModelInstance, action: ForwardingAction) -> None:
        match action:
            case StartAttempt():
                self._send(instance, action)
            case CancelAttempt(attempt_id=attempt_id):
                self._cancelled.add((instance.address, attempt_id))
            case OutgoingPeerMessage():
                self._deliver_message(instance, action)
            case SendReply(key=key, reply=reply):
                self._record_reply(key, reply)

    def _send(self, instance: ModelInstance, attempt: StartAttempt) -> None:
        """Send a subrequest to its upstream, after a handshake if its connection is new."""
        self.subrequests += 1
        data_centre = attempt.upstream.data_centre
        one_way_ms = self._load.one_way_ms(instance.data_centre, data_centre)
        is_new = instance.connections.is_new(attempt.attempt_id)
        begin_ms = self._queue.now_ms + one_way_ms
        if is_new:
            self._queue.add(begin_ms, lambda: self._perform_handshake(attempt))
            begin_ms += 2.0 * one_way_ms
        self._queue.add(begin_ms, lambda: self._process_request(instance, attempt, one_way_ms))

    def _perform_handshake(self, attempt: StartAttempt) -> None:
        model = self._upstreams[attempt.upstream.upstream_id]
        model.finish_ms(self._queue.now_ms, HANDSHAKE_MS)

    def _process_request(
        self, instance: ModelInstance, attempt: StartAttempt, one_way_ms: float
    ) -> None:
        if (instance.address, attempt.attempt_id) in self._cancelled:
            return
        model = self._upstreams[attempt.upstream.upstream_id]
        kind = next(k for path, k in KINDS.items() if attempt.request.path.startswith(path))
        done_ms = model.finish_ms(self._queue.now_ms, draw_work_ms(kind, self._random))
        if done_ms < NEVER_MS:
            self._queue.add(done_ms + one_way_ms, lambda: self._answer(instance, attempt))

    def _answer(self, instance: ModelInstance, attempt: StartAttempt) -> None:
        if (instance.address, attempt.attempt_id) in self._cancelled:
            return
        upstream = attempt.upstream
        instance.connections.release(upstream.upstream_id, self._queue.now_ms)
        answer = Completed(200, (), bytes(16), upstream.service)
        instance.enqueue(AttemptEnded(attempt.attempt_id, answer), self._load.costs.answer_ms)

    def _deliver_message(self, sender: ModelInstance, message: OutgoingPeerMessage) -> None:
        receiver = self._by_address[message.address]
        one_way_ms = self._load.one_way_ms(sender.data_centre, receiver.data_centre)
        event = PeerMessageReceived(sender.instance_id, message.message)
        cost_ms = self._load.costs.message_ms
        self._queue.add(self._queue.now_ms + one_way_ms, lambda: receiver.enqueue(event, cost_ms))

    def _record_reply(self, key: int, reply: object) -> None:
        outcome = self.outcomes[key]
        match reply:
            case MergedReply(missing=missing):
                outcome.latency_ms = self._queue.now_ms - outcome.sent_ms
                outcome.share = 1.0 - missing / self._load.shards
