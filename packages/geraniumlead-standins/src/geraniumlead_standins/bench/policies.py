"""Context managers that switch a decision off, or replace it by an alternative, for one run."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from geraniumlead.cold_start import ColdStartGuard
from geraniumlead.quarantine import QuarantineTracker
from geraniumlead.routing import Router, SubqueryRoute
from geraniumlead.tail_latency import StragglerDetector


@contextmanager
def without_hedges() -> Iterator[None]:
    """Never treat a subquery as late."""
    with patch.object(StragglerDetector, "delay_ms", lambda self, service, share, now_ms: None):
        yield


@contextmanager
def with_fixed_hedge_delay(delay_ms: float) -> Iterator[None]:
    """Treat a subquery as late after a fixed time."""
    with patch.object(StragglerDetector, "delay_ms", lambda self, service, share, now_ms: delay_ms):
        yield


@contextmanager
def with_random_replicas() -> Iterator[None]:
    """Choose at random among the replicas of a tier, tier by tier."""

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
    """Treat every upstream as warm, and never quarantine a query when an upstream falls over."""
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
    """Let every owner have one call in progress at a cold upstream.

    Without this the owners share the allowance of calls.
    """
    with (
        without_quarantine(),
        patch.object(ColdStartGuard, "holds_slot", lambda self, entry: True),
    ):
        yield


@contextmanager
def without_quarantine() -> Iterator[None]:
    """Never quarantine a query; quarantine would hide how often upstreams fall over."""
    with patch.object(QuarantineTracker, "remaining_ms", lambda self, fingerprint, now_ms: 0.0):
        yield
