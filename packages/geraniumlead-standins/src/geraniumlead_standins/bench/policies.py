"""Switch decisions off, or put a rival in their place, for one run."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from geraniumlead.cold_start import ColdStartGuard
from geraniumlead.quarantine import QuarantineTracker
from geraniumlead.routing import Router, SubqueryRoute
from geraniumlead.tail_latency import StragglerDetector


@contextmanager
def without_hedges() -> Iterator[None]:
    """Never take a subquery for late."""
    with patch.object(StragglerDetector, "delay_ms", lambda self, service, share, now_ms: None):
        yield


@contextmanager
def with_fixed_hedge_delay(delay_ms: float) -> Iterator[None]:
    """Take a subquery for late after a fixed time."""
    with patch.object(StragglerDetector, "delay_ms", lambda self, service, share, now_ms: delay_ms):
        yield


@contextmanager
def with_random_replicas() -> Iterator[None]:
    """Choose among the replicas of the data centre by chance alone."""

    def choose(
        self, replicas, tried, now_ms, long_running=False, skip_avoided=False
    ) -> SubqueryRoute | None:
        group = self._group_of(replicas)
        for tier in group.tiers:
            left = [replica for replica in tier if replica.upstream_id not in tried]
            self._random.shuffle(left)
            for replica in left:
                route = self._route_to(replica, now_ms, long_running)
                if route is not None:
                    return route
        return None

    with patch.object(Router, "choose", choose):
        yield


@contextmanager
def without_cold_start_guard() -> Iterator[None]:
    """Take every upstream for warm; a fall is no reason to quarantine the query."""
    with (
        without_quarantine(),
        patch.object(ColdStartGuard, "takes_load", lambda self, upstream_id, now_ms: True),
        patch.object(
            ColdStartGuard, "max_in_flight", lambda self, entry, warm_limit, now_ms: warm_limit
        ),
    ):
        yield


@contextmanager
def with_cold_slot_for_every_owner() -> Iterator[None]:
    """Let each owner have one call at a cold upstream, as if the allowance were each one's."""
    with (
        without_quarantine(),
        patch.object(ColdStartGuard, "holds_slot", lambda self, entry: True),
    ):
        yield


@contextmanager
def without_quarantine() -> Iterator[None]:
    """Let a query run whatever its upstreams suffered; else it would hide their falls."""
    with patch.object(QuarantineTracker, "remaining_ms", lambda self, fingerprint, now_ms: 0.0):
        yield
