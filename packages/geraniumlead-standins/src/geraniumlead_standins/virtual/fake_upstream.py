import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from msgspec import DecodeError
from msgspec.json import decode, encode

from geraniumlead.upstreams import (
    Cold,
    ConnectionLost,
    Draining,
    NotReached,
    Records,
    Shed,
    Subquery,
    UpstreamAnswer,
    WrongVersion,
)
from geraniumlead_standins.virtual.event_queue import EventQueue

DOWNTIME_AFTER_CRASH_MS = 2_000.0
LONG_QUERY_TEXT = b"long job"
LONG_QUERY_FACTOR = 50.0
"""A query that contains ``LONG_QUERY_TEXT`` takes this many times as long as others."""

MAX_QUEUED_PER_SLOT = 8

AnswerCallback = Callable[[UpstreamAnswer], None]


def read_token(query: bytes) -> str:
    """Return the token of a query, or an empty string if it is not JSON or has none."""
    try:
        found = decode(query)
    except DecodeError:
        return ""
    return found.get("token", "") if isinstance(found, dict) else ""


@dataclass(slots=True)
class AcceptedCall:
    """A call that the upstream has accepted, running or queued."""

    subquery: Subquery
    answer: AnswerCallback
    caller: str = ""
    is_cancelled: bool = False


@dataclass(slots=True)
class FakeUpstream:
    """A simulated upstream that answers subqueries in virtual time.

    It runs at most ``slots`` calls at once, queues up to ``MAX_QUEUED_PER_SLOT`` per slot and
    sheds the rest. While ``cold_answers_left`` is above 0, more than ``cold_allowance`` calls
    at once (running and queued) overload it: it goes down, and ``fallen`` counts this. A query
    whose text contains ``crash_text`` crashes it.

    ``holds`` maps index versions to shards. With ``answers_newest``, a subquery for a version
    that the upstream no longer holds is answered from the newest version that has the shard.

    A restart, an overload or a crash closes all connections: ``restarts`` counts these and
    ``on_disconnect`` is called each time. ``log`` is called for every call that is received,
    started, run or ended, for every crash or overload, and when the upstream turns cold or
    warm; histories are built from it. Each record echoes the ``token`` of the query.
    """

    upstream_id: str
    queue: EventQueue
    random: Random
    slots: int = 2
    cold_allowance: int = 1
    median_ms: float = 4.0
    sigma: float = 0.4
    slowdown: float = 1.0
    holds: dict[int, set[int]] = field(default_factory=dict)
    crash_text: bytes = b"crash"
    cold_answers_left: int = 0
    cold_after_crash: int = 0
    is_draining: bool = False
    is_silent: bool = False
    answers_newest: bool = False
    records_per_shard: int = 2
    down_until_ms: float = 0.0
    fallen: int = 0
    crashes: int = 0
    max_calls_while_cold: int = 0
    received: int = 0
    restarts: int = 0
    on_disconnect: Callable[[], None] = lambda: None
    log: Callable[..., None] = lambda **line: None
    _running: list[AcceptedCall] = field(default_factory=list)
    _waiting: deque[AcceptedCall] = field(default_factory=deque)

    def receive(
        self, subquery: Subquery, answer: AnswerCallback, caller: str = ""
    ) -> AcceptedCall | None:
        """Accept or refuse a call.

        ``answer`` is called once: at once for a call that is refused or takes the upstream
        down, otherwise later. Calls that are cancelled, or finish while the upstream is
        silent, get no answer.
        """
        self.received += 1
        if self.queue.now_ms < self.down_until_ms:
            answer(NotReached("connection refused"))
            return None
        call = AcceptedCall(subquery, answer, caller)
        self._log_call("received", call)
        refusal = self._find_refusal(subquery)
        if refusal is not None:
            self._log_call("ended", call)
            answer(refusal)
            return None
        if self.cold_answers_left > 0:
            at_once = len(self._running) + len(self._waiting) + 1
            self.max_calls_while_cold = max(self.max_calls_while_cold, at_once)
            if at_once > self.cold_allowance:
                self.fallen += 1
                self._go_down("fell_over", call)
                return None
        if self.crash_text in subquery.query:
            self.crashes += 1
            self._go_down("crashed", call)
            return None
        self._waiting.append(call)
        self._start_waiting()
        return call

    def cancel(self, call: AcceptedCall) -> None:
        """Cancel a call: a queued one never runs, a running one frees its slot."""
        call.is_cancelled = True
        if call in self._waiting:
            self._waiting.remove(call)
            self._log_call("ended", call)
        elif call in self._running:
            self._running.remove(call)
            self._log_call("ended", call)
            self._start_waiting()

    def restart(self, cold_answers: int) -> None:
        """Drop all calls and become cold."""
        self._drop_all_calls()
        self.turn_cold(cold_answers)

    def turn_cold(self, cold_answers: int, reason: str = "") -> None:
        """Become cold from now on, without notifying any instance."""
        self.cold_answers_left = cold_answers
        self.log(event="turned_cold", allowance=self.cold_allowance, reason=reason)

    def _find_refusal(self, subquery: Subquery) -> UpstreamAnswer | None:
        if self.is_draining:
            return Draining()
        if self._version_for(subquery) is None:
            return WrongVersion(tuple(sorted(self.holds)))
        if len(self._waiting) >= self.slots * MAX_QUEUED_PER_SLOT:
            return Cold() if self.cold_answers_left else Shed(20.0)
        return None

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self.slots:
            call = self._waiting.popleft()
            self._running.append(call)
            self._log_call("started", call)
            drawn_ms = self.random.lognormvariate(math.log(self.median_ms), self.sigma)
            if LONG_QUERY_TEXT in call.subquery.query:
                drawn_ms *= LONG_QUERY_FACTOR
            self.queue.add(
                self.queue.now_ms + drawn_ms * self.slowdown, lambda call=call: self._finish(call)
            )

    def _finish(self, call: AcceptedCall) -> None:
        if call not in self._running:
            return
        self._running.remove(call)
        was_cold = self.cold_answers_left > 0
        self.cold_answers_left = max(0, self.cold_answers_left - 1)
        if was_cold and not self.cold_answers_left:
            self.log(event="turned_warm")
        records = self._build_records(call.subquery, was_cold)
        self._log_call("ran", call, records.index_version, self.records_per_shard)
        self._log_call("ended", call)
        if not self.is_silent:
            call.answer(records)
        self._start_waiting()

    def _version_for(self, subquery: Subquery) -> int | None:
        if subquery.shard in self.holds.get(subquery.index_version, ()):
            return subquery.index_version
        versions = [version for version, shards in self.holds.items() if subquery.shard in shards]
        return max(versions) if versions and self.answers_newest else None

    def _build_records(self, subquery: Subquery, was_cold: bool) -> Records:
        version = self._version_for(subquery) or subquery.index_version
        record = {
            "shard": subquery.shard,
            "version": version,
            "token": read_token(subquery.query),
            "upstream": self.upstream_id,
        }
        return Records(version, subquery.shard, encode([record] * self.records_per_shard), was_cold)

    def _log_call(
        self, event: str, call: AcceptedCall, version: int | None = None, record_count: int = 0
    ) -> None:
        subquery = call.subquery
        self.log(
            event=event,
            instance=call.caller,
            call_id=subquery.call_id,
            request_id=subquery.request_id,
            token=read_token(subquery.query),
            shard=subquery.shard,
            index_version=version or subquery.index_version,
            record_count=record_count,
        )

    def _go_down(self, event: str, call: AcceptedCall) -> None:
        self._log_call(event, call)
        self._log_call("ended", call)
        self.down_until_ms = self.queue.now_ms + DOWNTIME_AFTER_CRASH_MS
        call.answer(ConnectionLost(event))
        self._drop_all_calls()
        if event == "crashed" and self.cold_after_crash:
            self.turn_cold(self.cold_after_crash)

    def _drop_all_calls(self) -> None:
        self.restarts += 1
        self.on_disconnect()
        lost = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        for call in lost:
            self._log_call("ended", call)
            call.answer(ConnectionLost("reset"))
