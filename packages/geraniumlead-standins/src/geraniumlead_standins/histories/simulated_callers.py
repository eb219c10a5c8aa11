from itertools import count
from random import Random

from msgspec.json import decode, encode

from geraniumlead.actions import AnswerCaller, AnswerTicketRequest
from geraniumlead.events import CallerDisconnected, QueryArrived, TicketRequested
from geraniumlead.requests import Answered, CallerRequest, Failed, NotRun, Outcome, Unknown
from geraniumlead_standins.histories.balancer import Balancer
from geraniumlead_standins.histories.operation import Operation
from geraniumlead_standins.histories.operation_attempt import OperationAttempt
from geraniumlead_standins.histories.recorded_run import RecordedRun
from geraniumlead_standins.history import RecordSeen
from geraniumlead_standins.virtual.small_cluster import CUSTOMER, SERVICE

ONE_WAY_DELAY_MS = 1.0
ANSWER_GRACE_MS = 400.0
FROZEN_POLL_INTERVAL_MS = 20.0
MAX_ATTEMPTS = 4
DEADLINES_MS = {"lookup": 200.0, "booking": 500.0}
MIN_COVERAGE = 0.3
CALLER = "callers"


class SimulatedCallers:
    """Many callers that send requests, and retry them if something goes wrong.

    A booking requests a ticket first and sends it with every attempt.
    """

    def __init__(self, run: RecordedRun, balancer: Balancer, random: Random) -> None:
        self._run = run
        self._balancer = balancer
        self._random = random
        self._numbers = count()
        self._open: dict[str, OperationAttempt] = {}
        self._ticket_requests: dict[str, Operation] = {}
        run.on_answer = self._handle_answer
        run.on_kill = self._reset_connections

    def start(self, operation: Operation) -> None:
        """Send an operation now, or first request its ticket if it needs one and has none."""
        if operation.idempotent or operation.ticket:
            self._send(operation)
            if operation.sends_twice:
                self._send(operation)
            return
        request_id = f"t{next(self._numbers)}"
        self._ticket_requests[request_id] = operation
        name = self._balancer.choose()
        event = TicketRequested(request_id, CUSTOMER, operation.class_name)
        self._schedule(ONE_WAY_DELAY_MS, lambda: self._run.deliver(name, event))
        self._schedule(ANSWER_GRACE_MS, lambda: self._retry_ticket_request(request_id))

    def _retry_ticket_request(self, request_id: str) -> None:
        operation = self._ticket_requests.pop(request_id, None)
        if operation is not None and operation.attempts < MAX_ATTEMPTS:
            operation.attempts += 1
            self.start(operation)

    def _send(self, operation: Operation) -> None:
        operation.attempts += 1
        request = OperationAttempt(
            f"q{next(self._numbers)}",
            operation,
            self._balancer.choose(),
            DEADLINES_MS[operation.class_name],
        )
        self._open[request.request_id] = request
        self._run.recorder.record(
            CALLER,
            "sent",
            request_id=request.request_id,
            token=operation.token,
            instance=request.instance,
            service=SERVICE,
            class_name=operation.class_name,
            idempotent=operation.idempotent,
            one_shard=operation.key is not None,
            attempt=operation.attempts,
            deadline_ms=request.deadline_ms,
        )
        self._schedule(ONE_WAY_DELAY_MS, lambda: self._deliver(request))
        self._schedule(request.deadline_ms + ANSWER_GRACE_MS, lambda: self._time_out(request))
        if operation.gives_up_after_ms is not None and operation.attempts == 1:
            self._schedule(operation.gives_up_after_ms, lambda: self._disconnect(request))

    def _deliver(self, request: OperationAttempt) -> None:
        host = self._run.instances[request.instance]
        if not host.is_alive:
            self._close(request, "lost", reason="connection refused")
            return
        if host.is_frozen:
            # The bytes wait in the socket buffer until the process resumes and reads them.
            self._schedule(FROZEN_POLL_INTERVAL_MS, lambda: self._deliver(request))
            return
        operation, now_ms = request.operation, self._run.now_ms
        caller_request = CallerRequest(
            request_id=request.request_id,
            customer=CUSTOMER,
            class_name=operation.class_name,
            query=operation.query,
            arrived_ms=now_ms,
            deadline_ms=now_ms + request.deadline_ms,
            least_coverage=MIN_COVERAGE if operation.idempotent else 1.0,
            key=operation.key,
            attempt=operation.attempts,
            ticket=operation.ticket,
        )
        self._run.deliver(request.instance, QueryArrived(caller_request))
        if request.is_closed:
            self._run.deliver(request.instance, CallerDisconnected(request.request_id))

    def _handle_answer(
        self, name: str, action: AnswerCaller | AnswerTicketRequest, now_ms: float
    ) -> None:
        match action:
            case AnswerTicketRequest(request_id=request_id, ticket=ticket):
                operation = self._ticket_requests.pop(request_id, None)
                if operation is not None and ticket is not None:
                    operation.ticket = ticket
                    self._schedule(ONE_WAY_DELAY_MS, lambda: self.start(operation))
            case AnswerCaller(request_id=request_id, outcome=outcome):
                request = self._open.get(request_id)
                if request is not None:
                    self._schedule(ONE_WAY_DELAY_MS, lambda: self._handle_outcome(request, outcome))

    def _handle_outcome(self, request: OperationAttempt, outcome: Outcome) -> None:
        match outcome:
            case Answered(index_version=version, coverage=coverage, records=records):
                self._close(
                    request,
                    "whole" if coverage.is_whole else "partial",
                    index_version=version,
                    asked=coverage.asked_shards,
                    answered=coverage.answered_shards,
                    missing=tuple(item.shard for item in coverage.missing),
                    records=_read_records(records),
                )
            case NotRun(reason=reason):
                self._close(request, "not_run", reason=reason.value)
            case Unknown(detail=detail):
                self._close(request, "unknown", reason=detail)
            case Failed(detail=detail):
                self._close(request, "failed", reason=detail)

    def _close(self, request: OperationAttempt, outcome: str, **fields) -> None:
        if request.has_timed_out:
            return
        self._run.recorder.record(
            CALLER, "answered", request_id=request.request_id, outcome=outcome, **fields
        )
        if request.is_closed:
            return
        request.is_closed = True
        operation = request.operation
        operation.is_done |= outcome in ("whole", "partial", "failed")
        self._schedule_retry(operation)

    def _schedule_retry(self, operation: Operation) -> None:
        pause_ms = self._random.uniform(5.0, 800.0)
        if not operation.is_done and operation.attempts < MAX_ATTEMPTS:
            self._schedule(pause_ms, lambda: operation.is_done or self._send(operation))

    def _time_out(self, request: OperationAttempt) -> None:
        if not request.is_closed:
            self._close(request, "lost", reason="timeout")
            request.has_timed_out = True
            self._run.deliver(request.instance, CallerDisconnected(request.request_id))

    def _disconnect(self, request: OperationAttempt) -> None:
        if request.is_closed:
            return
        request.is_closed = request.has_timed_out = True
        self._run.recorder.record(CALLER, "dropped", request_id=request.request_id)
        self._run.deliver(request.instance, CallerDisconnected(request.request_id))
        self._schedule_retry(request.operation)

    def _reset_connections(self, name: str) -> None:
        for request in self._open.values():
            if request.instance == name and not request.is_closed:
                self._schedule(ONE_WAY_DELAY_MS, lambda request=request: self._reset(request))

    def _reset(self, request: OperationAttempt) -> None:
        if not request.is_closed:
            self._close(request, "lost", reason="connection reset")
            request.has_timed_out = True

    def _schedule(self, delay_ms: float, callback) -> None:
        self._run.queue.add(self._run.now_ms + delay_ms, callback)


def build_operation(number: int, random: Random, text: str = "x") -> Operation:
    """Return a random operation: a lookup over all shards, or a lookup or booking of one key."""
    kind = random.choice(("lookup", "lookup", "keyed", "booking"))
    token = f"{kind}-{number}"
    return Operation(
        token=token,
        class_name="booking" if kind == "booking" else "lookup",
        query=encode({"token": token, "text": text}),
        idempotent=kind != "booking",
        key=None if kind == "lookup" else f"member-{random.randrange(50)}",
    )


def _read_records(texts: tuple[bytes, ...]) -> tuple[RecordSeen, ...]:
    return tuple(
        RecordSeen(record["shard"], record["version"], record["token"])
        for text in texts
        for record in decode(text)
    )
