"""Answer subqueries in virtual time as one upstream does."""

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

DOWN_AFTER_CRASH_MS = 2_000.0
LONG_QUERY_TEXT = b"long job"
LONG_QUERY_FACTOR = 50.0
"""A query with this text runs so many times longer than the others."""

MAX_QUEUED_PER_SLOT = 8

AnswerCallback = Callable[[UpstreamAnswer], None]


def read_token(query: bytes) -> str:
    """Return the token in a query's JSON text; empty when it has none."""
    try:
        found = decode(query)
    except DecodeError:
        return ""
    return found.get("token", "") if isinstance(found, dict) else ""


@dataclass(slots=True)
class AcceptedCall:
    """Remember one call in the upstream."""

    subquery: Subquery
    answer: AnswerCallback
    caller: str = ""
    is_cancelled: bool = False


@dataclass(slots=True)
class FakeUpstream:
    """Run at most ``slots`` calls at once; queue some and shed the rest.

    While ``cold_answers_left`` is above 0, more than ``cold_allowance`` calls at once make it
    fall over. A query whose text holds ``crash_text`` crashes it. ``holds`` maps index
    versions to shards; with ``answers_newest`` a shard of a version that is gone is answered
    from the newest one held. A restart, fall or crash closes all connections: ``restarts``
    counts these and ``on_disconnect`` hears of them. ``log`` gets every receipt, start, run,
    end, crash and turn, for histories. Each record echoes the query's ``token``.
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
        """Take a call; ``answer`` is called once, later, unless the upstream is silent."""
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
        """Give up a call: a waiting one never runs, a running one frees its slot."""
        call.is_cancelled = True
        if call in self._waiting:
            self._waiting.remove(call)
            self._log_call("ended", call)
        elif call in self._running:
            self._running.remove(call)
            self._log_call("ended", call)
            self._start_waiting()

    def restart(self, cold_answers: int) -> None:
        """Lose all calls and come back cold."""
        self._drop_all_calls()
        self.turn_cold(cold_answers)

    def turn_cold(self, cold_answers: int, reason: str = "") -> None:
        """Be cold from now on, without a word to anyone."""
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
        held = [version for version, shards in self.holds.items() if subquery.shard in shards]
        return max(held) if held and self.answers_newest else None

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

    def _go_down(self, event: str, last: AcceptedCall) -> None:
        self._log_call(event, last)
        self._log_call("ended", last)
        self.down_until_ms = self.queue.now_ms + DOWN_AFTER_CRASH_MS
        last.answer(ConnectionLost(event))
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
