"""Play one load: instances, the messages between them, upstreams and callers."""

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
    draw_work_ms,
    record_of,
)
from geraniumlead_standins.bench.forwarding_bound.upstream_model import NEVER_MS
from geraniumlead_standins.virtual import EventQueue

HANDSHAKE_MS = 6.0
"""Time that a new connection holds a slot of an upstream."""

KINDS = {kind.path: kind for kind in (SWEEP, PEEK)}


@dataclass(slots=True)
class Outcome:
    """Hold what became of one query; without an answer ``latency_ms`` is None."""

    asked_ms: float
    kind: QueryKind
    latency_ms: float | None = None
    share: float = 0.0

    @property
    def credit(self) -> float:
        """Return what its caller earned."""
        if self.latency_ms is None:
            return 0.0
        return self.share**2 * (1.0 if self.latency_ms <= self.kind.goal_ms else 0.1)


class FleetRun:
    """Pass events between the instances of a load in the order of time."""

    def __init__(self, load: FleetLoad, seed: int) -> None:
        self._load = load
        self._queue = EventQueue()
        self._random = Random(f"{seed}/work")
        self._cancelled: set[tuple[str, int]] = set()
        models = load.build_upstreams(Random(f"{seed}/upstreams"))
        self._upstreams = {model.upstream_id: model for model in models}
        self.outcomes: dict[int, Outcome] = {}
        self.parts = 0
        self.instances = [
            ModelInstance(number, load, self._queue, self._carry_out, seed)
            for number in range(load.instances)
        ]
        self._by_address = {instance.address: instance for instance in self.instances}
        news = (ConfigurationSeen(load.build_configuration()),)
        news += tuple(UpstreamSeen(record_of(model)) for model in models)
        for instance in self.instances:
            instance.take(PublishedUpdates(news, is_snapshot=True), 0.0)
        dead = load.choose_dead(Random(f"{seed}/dead"))
        if load.fault is not None:
            self._queue.add(load.fault.from_ms, lambda: self._kill(dead))
        queries = load.build_queries(Random(f"{seed}/queries"), dead)
        for key, (at_ms, number, kind) in enumerate(queries, start=1):
            self._queue.add(at_ms, lambda k=key, n=number, q=kind: self._ask(k, n, q))

    def run(self) -> "FleetRun":
        """Play everything."""
        self._queue.run_until(self._load.end_ms + 2_000.0)
        return self

    @property
    def connections_per_part(self) -> float:
        """Return how many connections were opened for each part that was sent."""
        opened = sum(instance.connections.opened for instance in self.instances)
        return opened / max(1, self.parts)

    def credit(self, from_ms: float, to_ms: float, kind: QueryKind | None = None) -> float:
        """Return what a query of a span of time earned in the mean."""
        found = [
            outcome.credit
            for outcome in self.outcomes.values()
            if from_ms <= outcome.asked_ms < to_ms and kind in (None, outcome.kind)
        ]
        return sum(found) / len(found) if found else 0.0

    def _kill(self, numbers: set[int]) -> None:
        for number in numbers:
            self.instances[number].is_dead = True

    def _ask(self, key: int, number: int, kind: QueryKind) -> None:
        now_ms = self._queue.now_ms
        self.outcomes[key] = Outcome(now_ms, kind)
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
        self.instances[number].take(RequestArrived(request), self._load.costs.query_ms)

    def _carry_out(self, instance: ModelInstance, action: ForwardingAction) -> None:
        match action:
            case StartAttempt():
                self._send(instance, action)
            case CancelAttempt(attempt_id=attempt_id):
                self._cancelled.add((instance.address, attempt_id))
            case OutgoingPeerMessage():
                self._pass_letter(instance, action)
            case SendReply(key=key, reply=reply):
                self._take_reply(key, reply)

    def _send(self, instance: ModelInstance, attempt: StartAttempt) -> None:
        """Bring a request to its upstream, over a new connection where none was idle."""
        self.parts += 1
        place = attempt.upstream.data_centre
        way_ms = self._load.one_way_ms(instance.data_centre, place)
        is_new = instance.connections.is_new(attempt.attempt_id)
        begin_ms = self._queue.now_ms + way_ms
        if is_new:
            self._queue.add(begin_ms, lambda: self._shake_hands(attempt))
            begin_ms += 2.0 * way_ms
        self._queue.add(begin_ms, lambda: self._work(instance, attempt, way_ms))

    def _shake_hands(self, attempt: StartAttempt) -> None:
        model = self._upstreams[attempt.upstream.upstream_id]
        model.finish_ms(self._queue.now_ms, HANDSHAKE_MS)

    def _work(self, instance: ModelInstance, attempt: StartAttempt, way_ms: float) -> None:
        if (instance.address, attempt.attempt_id) in self._cancelled:
            return
        model = self._upstreams[attempt.upstream.upstream_id]
        kind = next(k for path, k in KINDS.items() if attempt.request.path.startswith(path))
        done_ms = model.finish_ms(self._queue.now_ms, draw_work_ms(kind, self._random))
        if done_ms < NEVER_MS:
            self._queue.add(done_ms + way_ms, lambda: self._answer(instance, attempt))

    def _answer(self, instance: ModelInstance, attempt: StartAttempt) -> None:
        if (instance.address, attempt.attempt_id) in self._cancelled:
            return
        upstream = attempt.upstream
        instance.connections.give_back(upstream.upstream_id, self._queue.now_ms)
        answer = Completed(200, (), bytes(16), upstream.service)
        instance.take(AttemptEnded(attempt.attempt_id, answer), self._load.costs.answer_ms)

    def _pass_letter(self, sender: ModelInstance, letter: OutgoingPeerMessage) -> None:
        receiver = self._by_address[letter.address]
        way_ms = self._load.one_way_ms(sender.data_centre, receiver.data_centre)
        heard = PeerMessageReceived(sender.instance_id, letter.message)
        cost_ms = self._load.costs.letter_ms
        self._queue.add(self._queue.now_ms + way_ms, lambda: receiver.take(heard, cost_ms))

    def _take_reply(self, key: int, reply: object) -> None:
        outcome = self.outcomes[key]
        match reply:
            case MergedReply(missing=missing):
                outcome.latency_ms = self._queue.now_ms - outcome.asked_ms
                outcome.share = 1.0 - missing / self._load.shards
