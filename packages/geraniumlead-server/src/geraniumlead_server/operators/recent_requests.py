"""Remember what became of the latest requests."""

from collections import OrderedDict

from msgspec import Struct, field

from geraniumlead.actions import AnswerCaller
from geraniumlead.requests import Answered, CallerRequest, Failed
from geraniumlead.upstreams import Subquery
from geraniumlead_server.logs.request_log import describe_outcome
from geraniumlead_server.telemetry.metrics import outcome_name

MOST_REQUESTS = 1_000
MOST_UPSTREAMS_PER_REQUEST = 32


class SeenRequest(Struct, kw_only=True):
    """Tell what an operator asks about one request."""

    request_id: str
    contract: str
    class_name: str = field(name="class")
    attempt: int = 1
    key: str | None = None
    ticket: str | None = None
    allowed_ms: float = 0.0
    least_coverage: float = 1.0
    outcome: str = "open"
    latency_ms: float | None = None
    queued_ms: float = 0.0
    subqueries: int = 0
    extra_subqueries: int = 0
    upstreams: dict[str, str] = field(default_factory=dict)
    upstreams_left_out: int = 0
    missing: dict[str, int] = field(default_factory=dict)
    details: dict = field(default_factory=dict)


class RecentRequests:
    """Keep a bounded number of requests; the oldest goes first.

    Upstreams are noted in the order of sending, the first few of each request only: at a
    thousand shards a request the names would cost more memory than the rest of the process.
    """

    def __init__(self, most: int = MOST_REQUESTS) -> None:
        self._most = most
        self._seen: OrderedDict[str, SeenRequest] = OrderedDict()

    def open(self, request: CallerRequest) -> None:
        """Note a request that arrived."""
        self._seen[request.request_id] = SeenRequest(
            request_id=request.request_id,
            contract=request.customer,
            class_name=request.class_name,
            attempt=request.attempt,
            key=request.key,
            ticket=request.ticket,
            allowed_ms=round(request.deadline_ms - request.arrived_ms, 1),
            least_coverage=request.least_coverage,
        )
        if len(self._seen) > self._most:
            self._seen.popitem(last=False)

    def note_subquery(self, subquery: Subquery, through: str) -> None:
        """Note a subquery that goes to an upstream, ``through`` this instance or an owner."""
        seen = self._seen.get(subquery.request_id)
        if seen is None:
            return
        if len(seen.upstreams) < MOST_UPSTREAMS_PER_REQUEST:
            seen.upstreams[subquery.upstream_id] = through
        else:
            seen.upstreams_left_out += 1

    def observe(self, answer: AnswerCaller, now_ms: float) -> None:
        """Note an outcome."""
        seen = self._seen.get(answer.request_id)
        if seen is None:
            return
        seen.outcome = outcome_name(answer)
        seen.latency_ms = round(now_ms - answer.arrived_ms, 2)
        seen.queued_ms = round(answer.queued_ms, 2)
        seen.subqueries = answer.subqueries
        seen.extra_subqueries = answer.extra_subqueries
        seen.details = describe_outcome(answer)
        match answer.outcome:
            case Answered(coverage=coverage) | Failed(coverage=coverage) if coverage is not None:
                for item in coverage.missing:
                    reason = item.reason.value
                    seen.missing[reason] = seen.missing.get(reason, 0) + 1

    def find(self, request_id: str) -> list[SeenRequest]:
        """Return the requests with an identifier, or that a caller gave this identifier."""
        exact = self._seen.get(request_id)
        if exact is not None:
            return [exact]
        prefix = f"{request_id}."
        return [seen for name, seen in self._seen.items() if name.startswith(prefix)]
