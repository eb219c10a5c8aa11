"""Keep the outcomes of the latest requests for operators."""

from collections import OrderedDict

from msgspec import Struct, field

from geraniumlead.actions import AnswerCaller
from geraniumlead.requests import Answered, CallerRequest, Failed
from geraniumlead.upstreams import Subquery
from geraniumlead_server.logs.request_log import describe_outcome
from geraniumlead_server.telemetry.metrics import outcome_name

MAX_REQUESTS = 1_000
MAX_UPSTREAMS_PER_REQUEST = 32


class RecentRequest(Struct, kw_only=True):
    """The details of one request that operators can look up."""

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
    """The details of the latest requests; above a limit the oldest is removed.

    Only the first upstreams of each request are recorded, in the order of sending: at a
    thousand shards a request all names would use more memory than the rest of the process.
    """

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._requests: OrderedDict[str, RecentRequest] = OrderedDict()

    def record_arrival(self, request: CallerRequest) -> None:
        """Record a request that arrived."""
        self._requests[request.request_id] = RecentRequest(
            request_id=request.request_id,
            contract=request.customer,
            class_name=request.class_name,
            attempt=request.attempt,
            key=request.key,
            ticket=request.ticket,
            allowed_ms=round(request.deadline_ms - request.arrived_ms, 1),
            least_coverage=request.least_coverage,
        )
        if len(self._requests) > self._max_requests:
            self._requests.popitem(last=False)

    def record_subquery(self, subquery: Subquery, sender_id: str) -> None:
        """Record a subquery; ``sender_id`` is this instance or the owner that sends it."""
        entry = self._requests.get(subquery.request_id)
        if entry is None:
            return
        if len(entry.upstreams) < MAX_UPSTREAMS_PER_REQUEST:
            entry.upstreams[subquery.upstream_id] = sender_id
        else:
            entry.upstreams_left_out += 1

    def observe(self, answer: AnswerCaller, now_ms: float) -> None:
        """Record the outcome of a request."""
        entry = self._requests.get(answer.request_id)
        if entry is None:
            return
        entry.outcome = outcome_name(answer)
        entry.latency_ms = round(now_ms - answer.arrived_ms, 2)
        entry.queued_ms = round(answer.queued_ms, 2)
        entry.subqueries = answer.subqueries
        entry.extra_subqueries = answer.extra_subqueries
        entry.details = describe_outcome(answer)
        match answer.outcome:
            case Answered(coverage=coverage) | Failed(coverage=coverage) if coverage is not None:
                for item in coverage.missing:
                    reason = item.reason.value
                    entry.missing[reason] = entry.missing.get(reason, 0) + 1

    def find(self, request_id: str) -> list[RecentRequest]:
        """Return the requests with this identifier, either the instance's or the caller's."""
        exact = self._requests.get(request_id)
        if exact is not None:
            return [exact]
        prefix = f"{request_id}."
        return [entry for name, entry in self._requests.items() if name.startswith(prefix)]
