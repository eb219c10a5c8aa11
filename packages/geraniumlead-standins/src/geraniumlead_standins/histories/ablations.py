"""Remove one safeguard from the system, to show that its check fails without it.

Each variant patches one or more methods during a run. The product has no such switches.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest.mock import patch

from geraniumlead.cold_start import ColdStartGuard
from geraniumlead.configuration import ClusterView, DocumentStore
from geraniumlead.coordination import QueryCoordinator
from geraniumlead.coordination.open_query import OpenQuery
from geraniumlead.instance.lifecycle import Lifecycle
from geraniumlead.instance.ticket_handler import TicketHandler
from geraniumlead.requests import Coverage, NotRun, RefusalReason, Unknown
from geraniumlead.tickets import TicketRegistry
from geraniumlead.upstreams import Records


@contextmanager
def merge_any_version() -> Iterator[None]:
    """Merge every answer for a shard, whatever its index version."""

    def is_same_shard(self, query, shard, answer: Records) -> bool:
        return answer.shard == shard.plan.shard

    with patch.object(QueryCoordinator, "_matches_plan", is_same_shard):
        yield


@contextmanager
def count_only_answers() -> Iterator[None]:
    """Report only the shards that answered, which hides missing ones."""

    def coverage(self) -> Coverage:
        answered = sum(1 for shard in self.shards if shard.records is not None)
        return Coverage(max(answered, 1), answered)

    with patch.object(OpenQuery, "coverage", coverage):
        yield


@contextmanager
def ignore_cold() -> Iterator[None]:
    """Use every slot of an upstream, even if it is cold."""

    def max_in_flight(self, entry, warm_limit: int, now_ms: float) -> int:
        return warm_limit

    with patch.object(ColdStartGuard, "max_in_flight", max_in_flight):
        yield


@contextmanager
def ignore_data_centre_state() -> Iterator[None]:
    """Send to a data centre whatever state operators published."""
    with patch.object(ClusterView, "is_data_centre_in_service", lambda self, name: True):
        yield


@contextmanager
def ignore_leaving() -> Iterator[None]:
    """Send to an upstream as long as it is listed, even if it is leaving."""

    def is_usable(self, upstream_id: str) -> bool:
        entry = self.upstreams.get(upstream_id)
        return entry is not None and self.is_data_centre_in_service(entry.data_centre)

    with patch.object(ClusterView, "is_usable", is_usable):
        yield


@contextmanager
def match_answers_in_order() -> Iterator[None]:
    """With several calls at an upstream, give a call the records of the answer before its own."""
    original = QueryCoordinator._handle_answer
    kept: dict[tuple[int, str], Records] = {}

    def handle_answer(self, call, answer, now_ms):
        if isinstance(answer, Records):
            name = call.route.upstream_id
            has_others = any(True for _ in self._calls.open_queries_at(name))
            kept[id(self), name], previous = answer, kept.get((id(self), name))
            if has_others and previous is not None:
                answer = previous
        return original(self, call, answer, now_ms)

    with patch.object(QueryCoordinator, "_handle_answer", handle_answer):
        yield


@contextmanager
def report_unknown_as_not_run() -> Iterator[None]:
    """Tell callers "not run" where the outcome is unknown."""

    def end(self, query, outcome, now_ms):
        if isinstance(outcome, Unknown):
            outcome = NotRun(RefusalReason.UPSTREAM_SHED, 10.0)
        return original_end(self, query, outcome, now_ms)

    original_end = QueryCoordinator._end
    with patch.object(QueryCoordinator, "_end", end):
        yield


@contextmanager
def run_each_arrival() -> Iterator[None]:
    """Run a booking each time that it arrives, on whichever instance."""
    with (
        patch.object(TicketHandler, "is_own", lambda self, ticket: True),
        patch.object(TicketHandler, "claim", lambda self, request, now_ms: None),
        patch.object(TicketHandler, "join_running", lambda self, request: False),
        patch.object(TicketRegistry, "start", lambda self, ticket: None),
    ):
        yield


@contextmanager
def stop_at_once() -> Iterator[None]:
    """Exit as soon as a stop is requested."""

    def may_exit(self, *args) -> bool:
        return self.is_stopping

    with patch.object(Lifecycle, "may_exit", may_exit):
        yield


@contextmanager
def accept_any_revision() -> Iterator[None]:
    """Accept every document that a source offers, also older ones."""

    def is_other_revision(self, versioned) -> bool:
        current = self._newest.get(versioned.key)
        return current is None or versioned.revision != current.revision

    with patch.object(DocumentStore, "_is_update", is_other_revision):
        yield


ABLATIONS: dict[str, Callable] = {
    "one snapshot": merge_any_version,
    "true coverage": count_only_answers,
    "cold load": ignore_cold,
    "data centre out": ignore_data_centre_state,
    "own answer": match_answers_in_order,
    "not run": report_unknown_as_not_run,
    "at most once": run_each_arrival,
    "leaving upstream": ignore_leaving,
    "graceful stop": stop_at_once,
    "configuration": accept_any_revision,
}
