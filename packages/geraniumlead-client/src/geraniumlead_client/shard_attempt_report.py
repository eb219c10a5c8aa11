"""Join the attempts of all instances for one request and shard, and compare them with the route."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from geraniumlead_client.log_lines import LogLine, SkippedLine


@dataclass(frozen=True, slots=True)
class ShardAttempts:
    """The upstreams of a shard that one request may have reached, from any instance."""

    request_id: str
    service: str
    upstreams: tuple[str, ...]
    max_upstreams: int
    instances: tuple[str, ...]

    @property
    def is_over(self) -> bool:
        """Return whether these are more than the route allows."""
        return len(self.upstreams) > self.max_upstreams


@dataclass(frozen=True, slots=True)
class ShardAttemptSummary:
    """How many requests made several attempts for a shard, and reached too many of its upstreams.

    ``by_several_instances`` of them had attempts for one shard from more than one instance.
    """

    requests: int
    by_several_instances: int
    requests_over: int
    worst: list[ShardAttempts]


@dataclass(slots=True)
class ShardAttemptReport:
    """Collects the lines of all instances, in any order.

    An attempt that was cancelled before it was written is counted, so a shard may seem to have
    been sent to one upstream too many.
    """

    _upstreams: dict[tuple[str, str], set[str]] = field(default_factory=lambda: defaultdict(set))
    _instances: dict[tuple[str, str], set[str]] = field(default_factory=lambda: defaultdict(set))
    _max_upstreams: dict[str, int] = field(default_factory=dict)

    def add(self, lines: Iterable[LogLine | SkippedLine]) -> None:
        """Add the lines of one log."""
        for line in lines:
            match line:
                case LogLine(fields={"event": "request", "attempts": attempts}):
                    self._add_request(line, attempts)

    def summarize(self, max_worst: int) -> ShardAttemptSummary:
        """Return the counts, and the shards with the most upstreams over the limit."""
        found = [self._attempts_of(request_id, service) for request_id, service in self._upstreams]
        over = [attempts for attempts in found if attempts.is_over]
        worst = sorted(over, key=lambda attempts: (-len(attempts.upstreams), attempts.request_id))
        shared = {attempts.request_id for attempts in found if len(attempts.instances) > 1}
        return ShardAttemptSummary(
            requests=len({attempts.request_id for attempts in found}),
            by_several_instances=len(shared),
            requests_over=len({attempts.request_id for attempts in over}),
            worst=worst[:max_worst],
        )

    def _add_request(self, line: LogLine, attempts: dict[str, list[str]]) -> None:
        request_id = str(line.fields.get("request_id"))
        self._max_upstreams[request_id] = int(line.fields["max_upstreams"])
        for service, upstream_ids in attempts.items():
            self._upstreams[request_id, service].update(upstream_ids)
            self._instances[request_id, service].add(line.instance)

    def _attempts_of(self, request_id: str, service: str) -> ShardAttempts:
        key = request_id, service
        return ShardAttempts(
            request_id,
            service,
            tuple(sorted(self._upstreams[key])),
            self._max_upstreams[request_id],
            tuple(sorted(self._instances[key])),
        )
