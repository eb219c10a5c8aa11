"""Choose the upstream that a request is sent to."""

from collections.abc import Collection, Sequence
from random import Random

from geraniumlead.fleet import FleetView, UpstreamRecord
from geraniumlead.forwarding.cold_rates import ColdRates
from geraniumlead.forwarding.data_centre_ways import DataCentreWays
from geraniumlead.forwarding.upstream_estimate import UpstreamEstimate
from geraniumlead.routes import Route, UpstreamService
from geraniumlead.settings.forwarding_settings import ForwardingSettings

REGION_HANDICAP_MS = 30.0
"""What an answer from another region has to be sooner by, besides its way: the bytes between
regions cost callers' money, and near upstreams are spared for near callers."""

FAILURE_COST_MS = 250.0
"""What a failed attempt costs: about the goal of a query over all shards."""

COLD_FACTOR = 1.6
"""How much longer an upstream works shortly after its start."""

JITTER_SHARE = 0.1
"""Spread of the estimates, so that equals share the load."""

LEAST_CONNECTIONS = 3
"""Calls at once that an instance may have at an upstream however many instances there are; the
upstream rejects what is too much, and few instances call it at the same moment."""


class UpstreamChooser:
    """Choose among the usable upstreams of a service the one that would answer first.

    Load pattern: two upstreams a shard, each pausing for a quarter of a second now and then
    and slow or failing for seconds; a few calls a second from each instance to each of them.
    A choice by turns sends half of all calls to the slow one.
    """

    __slots__ = (
        "_estimates",
        "_fleet",
        "_instances",
        "_random",
        "_settings",
        "_ways",
        "cold",
    )

    def __init__(
        self,
        settings: ForwardingSettings,
        fleet: FleetView,
        ways: DataCentreWays,
        random: Random,
    ) -> None:
        self._settings = settings
        self._ways = ways
        self._fleet = fleet
        self._random = random
        self._instances = 1
        self._estimates: dict[str, UpstreamEstimate] = {}
        self.cold = ColdRates(settings)

    def set_instances(self, count: int, live: Sequence[str]) -> None:
        """Take over how many instances share the upstreams, and who lives of them."""
        self._instances = max(1, count)
        self.cold.set_instances(count, live)

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Take over changed settings."""
        self._settings = settings
        self.cold.apply_settings(settings)

    def estimate_of(self, upstream_id: str) -> UpstreamEstimate:
        """Return what is known of an upstream."""
        estimate = self._estimates.get(upstream_id)
        if estimate is None:
            estimate = self._estimates[upstream_id] = UpstreamEstimate()
        return estimate

    def forget(self, upstream_id: str) -> None:
        """Forget an upstream that is gone or began a new life; calls in flight stay counted."""
        self.cold.forget(upstream_id)
        estimate = self._estimates.pop(upstream_id, None)
        if estimate is not None and estimate.in_flight:
            self._estimates[upstream_id] = UpstreamEstimate(in_flight=estimate.in_flight)

    def note_sent(self, record: UpstreamRecord, now_ms: float) -> None:
        """Count a request that goes to an upstream."""
        self.estimate_of(record.upstream_id).in_flight += 1
        self.cold.note_sent(record.upstream_id, now_ms)

    def second_way_ms(self, service: str, first: UpstreamRecord, first_way_ms: float) -> float:
        """Return the way to the nearest of the other upstreams of a service."""
        ways = [
            self._ways.way_ms(record.data_centre)
            for record in self._fleet.usable(service)
            if record.upstream_id != first.upstream_id
        ]
        return min(ways, default=first_way_ms)

    def has_untried(
        self, route: Route, service: str, tried: Collection[str], now_ms: float
    ) -> bool:
        """Return whether any upstream may be sent to, now or when it has a place."""
        return any(
            record.upstream_id not in tried
            and self._is_allowed(route, record)
            and now_ms >= self.estimate_of(record.upstream_id).gone_until_ms
            for record in self._fleet.usable(service)
        )

    def choose(
        self,
        route: Route,
        service: UpstreamService,
        tried: Collection[str],
        usual_ms: float,
        now_ms: float,
        only_good: bool = False,
    ) -> UpstreamRecord | None:
        """Return the best upstream that was not tried; None when none may be used.

        ``only_good`` leaves out those that are passed over now.
        """
        most = self._connection_share(service)
        best, best_ms = None, float("inf")
        for record in self._fleet.usable(service.name):
            estimate = self.estimate_of(record.upstream_id)
            if record.upstream_id in tried or estimate.in_flight >= most:
                continue
            if now_ms < estimate.gone_until_ms or not self._is_allowed(route, record):
                continue
            if not self.cold.may_send(record.upstream_id, service, now_ms):
                continue
            is_avoided = now_ms < estimate.avoid_until_ms
            if is_avoided and only_good:
                continue
            expected_ms = self._expected_ms(record, estimate, usual_ms, now_ms)
            if is_avoided:
                expected_ms += FAILURE_COST_MS
            if expected_ms < best_ms:
                best, best_ms = record, expected_ms
        return best

    def _expected_ms(
        self, record: UpstreamRecord, estimate: UpstreamEstimate, usual_ms: float, now_ms: float
    ) -> float:
        waiting = 1.0 + estimate.in_flight / max(1, record.slots)
        expected_ms = usual_ms * estimate.slowness_at(now_ms) * waiting
        if self.cold.is_cold(record.upstream_id, now_ms):
            expected_ms *= COLD_FACTOR
        expected_ms += FAILURE_COST_MS * estimate.failure_share_at(now_ms)
        expected_ms *= 1.0 + JITTER_SHARE * self._random.random()
        expected_ms += self._ways.way_ms(record.data_centre)
        if not self._is_near(record):
            expected_ms += REGION_HANDICAP_MS
        return expected_ms

    def _is_near(self, record: UpstreamRecord) -> bool:
        return self._settings.regions.get(record.data_centre) == self._settings.region

    def _connection_share(self, service: UpstreamService) -> int:
        return max(LEAST_CONNECTIONS, service.max_connections // self._instances)

    def _is_allowed(self, route: Route, record: UpstreamRecord) -> bool:
        if not route.allowed_regions:
            return True
        return self._settings.regions.get(record.data_centre) in route.allowed_regions
