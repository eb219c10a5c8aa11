from dataclasses import dataclass, field

from geraniumlead.actions import AnswerCaller, AnswerTicketRequest, CallUpstream
from geraniumlead.events import QueryArrived
from geraniumlead.requests import Answered, CallerRequest, NotRun
from geraniumlead_standins.bench.result_row import ResultRow
from geraniumlead_standins.virtual.fake_upstream import FakeUpstream
from geraniumlead_standins.virtual.small_cluster import CUSTOMER, SmallCluster

SETTLED_MS = 2_000.0

QUERIES = 20
"""Number of distinct queries, sent in turn.

It is small so that every instance has proven all of them before the faults begin."""


@dataclass(slots=True, frozen=True)
class ReceivedAnswer:
    """The outcome of a request, with its arrival time and latency."""

    arrived_ms: float
    latency_ms: float
    outcome: object
    extra_subqueries: int


@dataclass(slots=True)
class LoadRun:
    """Queries of one class at a steady mean rate to a small cluster, and their answers.

    Arrival times come from the random generator of the cluster's run.
    """

    cluster: SmallCluster
    rate_per_s: float
    class_name: str = "lookup"
    deadline_ms: float = 200.0
    least_coverage: float = 1.0
    entries: list[str] = field(default_factory=list)
    answers: list[ReceivedAnswer] = field(default_factory=list)
    sent: int = 0
    calls: int = 0
    next_ms: float = SETTLED_MS

    def __post_init__(self) -> None:
        """Register the callbacks and let the cluster start up."""
        run = self.cluster.run
        run.on_answer = self._handle_answer
        run.on_action = self._count_call
        self.entries = self.entries or list(run.instances)
        run.queue.run_until(SETTLED_MS)

    def send_until(self, end_ms: float) -> None:
        """Send queries with exponentially distributed gaps to the entry instances in turn."""
        run = self.cluster.run
        while self.next_ms < end_ms:
            run.queue.run_until(self.next_ms)
            now_ms = run.now_ms
            request = CallerRequest(
                f"r{self.sent}",
                CUSTOMER,
                self.class_name,
                b'{"member":%d}' % (self.sent % QUERIES),
                now_ms,
                now_ms + self.deadline_ms,
                self.least_coverage,
            )
            entry = self.entries[self.sent % len(self.entries)]
            self.sent += 1
            run.deliver(entry, QueryArrived(request))
            gap_ms = run.random.expovariate(self.rate_per_s) * 1_000.0
            self.next_ms = now_ms + gap_ms
        run.queue.run_until(end_ms)

    def finish(self) -> None:
        """Run until the last deadlines have passed."""
        self.cluster.run.queue.run_until(self.cluster.run.now_ms + 2.0 * self.deadline_ms)

    def upstreams(self) -> list[FakeUpstream]:
        """Return the upstreams in the order of their addresses."""
        return list(self.cluster.run.upstreams.values())

    def summarise(
        self,
        pattern: str,
        variant: str,
        since_ms: float = SETTLED_MS,
        until_ms: float = 1e12,
        **more,
    ) -> ResultRow:
        """Return the row of all requests that arrived in a time interval."""
        chosen = [answer for answer in self.answers if since_ms <= answer.arrived_ms < until_ms]
        answered = [answer for answer in chosen if isinstance(answer.outcome, Answered)]
        latencies_ms = sorted(answer.latency_ms for answer in answered)
        span_s = (min(until_ms, self.cluster.run.now_ms) - since_ms) / 1_000.0
        extra = sum(answer.extra_subqueries for answer in chosen)
        first = len(chosen) * self.cluster.size.shards
        covered = sum(answer.outcome.coverage.share for answer in answered)
        not_run = sum(1 for answer in chosen if isinstance(answer.outcome, NotRun))
        return ResultRow(
            pattern=pattern,
            variant=variant,
            class_name=self.class_name,
            p50_ms=_quantile(latencies_ms, 0.5),
            p99_ms=_quantile(latencies_ms, 0.99),
            p999_ms=_quantile(latencies_ms, 0.999),
            coverage=covered / len(answered) if answered else None,
            goodput_per_s=len(answered) / span_s,
            refused=not_run,
            extra_load_share=extra / first if first else 0.0,
            fallen=sum(upstream.fallen for upstream in self.upstreams()),
            more={"failed": len(chosen) - len(answered) - not_run, **more},
        )

    def _handle_answer(
        self, name: str, action: AnswerCaller | AnswerTicketRequest, now_ms: float
    ) -> None:
        if isinstance(action, AnswerCaller):
            latency_ms = now_ms - action.arrived_ms
            self.answers.append(
                ReceivedAnswer(
                    action.arrived_ms, latency_ms, action.outcome, action.extra_subqueries
                )
            )

    def _count_call(self, name: str, action: object, now_ms: float) -> None:
        self.calls += isinstance(action, CallUpstream)


def _quantile(ordered: list[float], share: float) -> float | None:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else None
