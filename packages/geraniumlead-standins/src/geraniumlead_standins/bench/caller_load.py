from collections.abc import Callable
from itertools import count

from msgspec.json import encode

from geraniumlead.actions import AnswerCaller
from geraniumlead.documents import ContractDocument, DocumentKind, document_key
from geraniumlead.events import QueryArrived
from geraniumlead.instance import Instance
from geraniumlead.requests import CallerRequest, NotRun
from geraniumlead_standins.bench.caller_stream import CallerStream, RetryPolicy
from geraniumlead_standins.bench.result_row import ResultRow
from geraniumlead_standins.bench.stream_result import StreamResult
from geraniumlead_standins.virtual.small_cluster import ClusterSize, SmallCluster

WARM_UP_FROM_MS = 5_000.0
WARM_UP_PER_S = 40.0
LOAD_FROM_MS = 8_000.0
MEASURED_FROM_MS = 10_000.0
IMMEDIATE_RETRY_DELAY_MS = 1.0


class CallerLoad:
    """A run of a small cluster in virtual time, with streams of requests and their results.

    Results count requests that arrive from ``MEASURED_FROM_MS`` on, so that the adaptive limits
    settle before.
    """

    def __init__(
        self,
        size: ClusterSize,
        seed: int,
        contracts: list[ContractDocument],
        apply_variant: Callable[[Instance], None] = lambda instance: None,
    ) -> None:
        self.cluster = SmallCluster.from_size(size, seed, contracts[0])
        self.run = self.cluster.run
        for contract in contracts[1:]:
            key = document_key(DocumentKind.CONTRACT, contract.customer)
            self.run.publish({key: encode(contract)})
        for host in self.run.instances.values():
            apply_variant(host.instance)
        self.results: dict[str, StreamResult] = {}
        self._streams: dict[str, tuple[CallerStream, int, float]] = {}
        self._request_numbers = count()
        self._end_ms = 0.0
        self.run.on_answer = self._handle_answer
        self._warm_up()

    def _warm_up(self) -> None:
        # Upstreams start cold, but the results are about warm ones.
        stream = CallerStream(
            "lookup", WARM_UP_PER_S, start_ms=WARM_UP_FROM_MS, end_ms=LOAD_FROM_MS, label="warm-up"
        )
        self._warm_up_result = StreamResult()
        self._schedule(stream, stream.start_ms)

    def add(self, stream: CallerStream) -> None:
        """Schedule the first request of a stream; each request schedules the next one."""
        self.results.setdefault(stream.name, StreamResult())
        self._end_ms = max(self._end_ms, stream.end_ms)
        if stream.rate_per_s > 0.0:
            self._schedule(stream, stream.start_ms)

    def finish(self, settle_ms: float = 5_000.0) -> None:
        """Run until every request has its outcome."""
        self.run.queue.run_until(self._end_ms + settle_ms)

    @property
    def measured_s(self) -> float:
        """Return the length of the time in which arriving requests count in the results."""
        return (self._end_ms - MEASURED_FROM_MS) / 1_000.0

    def rows(self, pattern: str, variant: str, **extra_figures: float) -> list[ResultRow]:
        """Return one row per stream."""
        down_count = sum(upstream.fallen for upstream in self.run.upstreams.values())
        crashes = sum(upstream.crashes for upstream in self.run.upstreams.values())
        measured_s = self.measured_s
        return [
            self._row(
                pattern,
                variant,
                name,
                result,
                measured_s,
                down_count + crashes,
                extra_figures,
            )
            for name, result in self.results.items()
        ]

    def _row(
        self, pattern, variant, name, result, measured_s, down_count, extra_figures
    ) -> ResultRow:
        answered_count = len(result.latencies_ms)
        first_subqueries = result.subqueries - result.extra_subqueries
        return ResultRow(
            pattern=pattern,
            variant=variant,
            class_name=name,
            p50_ms=_rounded(result.quantile_ms(0.5)),
            p99_ms=_rounded(result.quantile_ms(0.99)),
            p999_ms=_rounded(result.quantile_ms(0.999)),
            coverage=round(sum(result.coverage) / answered_count, 5) if answered_count else None,
            goodput_per_s=round(answered_count / measured_s, 1),
            refused=sum(result.refused.values()),
            extra_load_share=(
                round(result.extra_subqueries / first_subqueries, 5) if first_subqueries else 0.0
            ),
            fallen=down_count,
            refused_by_reason=dict(result.refused),
            more={
                "sent": float(result.sent),
                "failed": float(result.failed),
                "past_deadline": float(result.late),
                "refused_at_once": round(result.refused_at_once_share(), 4),
                "longest_refusal_ms": round(max(result.refusal_ms, default=0.0), 2),
                **extra_figures,
            },
        )

    def _schedule(self, stream: CallerStream, from_ms: float) -> None:
        random = self.run.random
        at_ms = from_ms + random.expovariate(stream.rate_per_s) * 1_000.0
        if at_ms < stream.end_ms:
            self.run.queue.add(at_ms, lambda: self._arrive(stream, at_ms))

    def _arrive(self, stream: CallerStream, at_ms: float) -> None:
        self._schedule(stream, at_ms)
        random = self.run.random
        self._send(stream, stream.draw_key(random), stream.draw_query(random), 0)

    def _send(self, stream: CallerStream, key: str | None, query: bytes, retries: int) -> None:
        now_ms = self.run.now_ms
        request = CallerRequest(
            request_id=f"q{next(self._request_numbers)}",
            customer=stream.customer,
            class_name=stream.class_name,
            query=query,
            arrived_ms=now_ms,
            deadline_ms=now_ms + stream.deadline_ms,
            least_coverage=1.0,
            key=key,
            attempt=retries + 1,
        )
        self._streams[request.request_id] = (stream, key, query, retries, now_ms)
        if now_ms >= MEASURED_FROM_MS:
            self.results[stream.name].sent += 1
        names = list(self.cluster.settings)
        self.run.deliver(self.run.random.choice(names), QueryArrived(request))

    def _handle_answer(self, name: str, action: AnswerCaller, now_ms: float) -> None:
        stream, key, query, retries, sent_ms = self._streams.pop(action.request_id)
        result = self.results.get(stream.name, self._warm_up_result)
        if sent_ms >= MEASURED_FROM_MS:
            is_late = now_ms > sent_ms + stream.deadline_ms + 0.001
            result.add(action.outcome, now_ms - sent_ms, is_late)
            result.subqueries += action.subqueries
            result.extra_subqueries += action.extra_subqueries
        if not isinstance(action.outcome, NotRun) or retries >= stream.max_retries:
            return
        match stream.retry_policy:
            case RetryPolicy.RETRY_AT_ONCE:
                wait_ms = IMMEDIATE_RETRY_DELAY_MS
            case RetryPolicy.HONOUR_RETRY_AFTER:
                wait_ms = action.outcome.retry_after_ms
            case _:
                return
        if now_ms + wait_ms < max(stream.end_ms, stream.retry_until_ms):
            retry = lambda: self._send(stream, key, query, retries + 1)  # noqa: E731
            self.run.queue.add(now_ms + wait_ms, retry)


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 2)
