from collections.abc import Collection, Sequence
from random import Random

from geraniumlead.forwarding.cold_rate_limiter import ColdRateLimiter
from geraniumlead.forwarding.relative_rtts import RelativeRtts
from geraniumlead.forwarding.upstream_estimate import UpstreamEstimate
from geraniumlead.published_upstreams import UpstreamRecord, UpstreamView
from geraniumlead.routes import Route, UpstreamService
from geraniumlead.settings.forwarding_settings import ForwardingSettings

CROSS_REGION_PENALTY_MS = 30.0
"""Penalty of upstreams in other regions, added to the relative round-trip time: callers pay for the
bytes between regions, and upstreams are spared for callers in their own region."""

FAILURE_PENALTY_MS = 250.0
"""Cost of a failed attempt: about the latency goal of a query over all shards."""

COLD_LATENCY_FACTOR = 1.6
"""Factor by which a cold upstream takes longer to answer."""

JITTER_SHARE = 0.1
"""Relative random spread of the estimates, so that equal upstreams share the load."""

MIN_CONNECTIONS = 3
"""Concurrent calls that an instance may always have at an upstream, however many instances there
are. The upstream rejects any excess, and few instances call it at the same moment."""


class UpstreamChooser:
    """Chooses the usable upstream of a service with the least expected response time.

    Load pattern: there are two upstreams for each shard. Each pauses for a quarter of a second now
    and then, and is slow or failing for seconds at a time. Each instance sends a few calls a second
    to each of them. Round-robin would send half of all calls to the slow one.
    """

    __slots__ = (
        "_estimates",
        "_instance_count",
        "_random",
        "_relative_rtts",
        "_settings",
        "_upstream_view",
        "cold_limiter",
    )

    def __init__(
        self,
        settings: ForwardingSettings,
        upstream_view: UpstreamView,
        relative_rtts: RelativeRtts,
        random: Random,
        started_ms: float,
    ) -> None:
        self._settings = settings
        self._relative_rtts = relative_rtts
        self._upstream_view = upstream_view
        self._random = random
        self._instance_count = 1
        self._estimates: dict[str, UpstreamEstimate] = {}
        self.cold_limiter = ColdRateLimiter(settings, started_ms)

    def set_instances(self, count: int, live_ids: Sequence[str]) -> None:
        """Set how many instances share the upstreams, and the ids of those that are live."""
        self._instance_count = max(1, count)
        self.cold_limiter.set_instances(count, live_ids)

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Apply changed settings."""
        self._settings = settings
        self.cold_limiter.apply_settings(settings)

    def estimate_of(self, upstream_id: str) -> UpstreamEstimate:
        """Return the estimate for an upstream; create it if there is none."""
        estimate = self._estimates.get(upstream_id)
        if estimate is None:
            estimate = self._estimates[upstream_id] = UpstreamEstimate()
        return estimate

    def forget(self, upstream_id: str) -> None:
        """Discard what is known of an upstream that is gone or restarted.

        Its calls in flight stay counted.
        """
        self.cold_limiter.forget(upstream_id)
        estimate = self._estimates.pop(upstream_id, None)
        if estimate is not None and estimate.in_flight:
            self._estimates[upstream_id] = UpstreamEstimate(in_flight=estimate.in_flight)

    def record_sent(self, record: UpstreamRecord, now_ms: float) -> None:
        """Count a request that is sent to an upstream."""
        self.estimate_of(record.upstream_id).in_flight += 1
        self.cold_limiter.record_sent(record.upstream_id, now_ms)

    def second_relative_rtt_ms(
        self, service: str, first: UpstreamRecord, first_relative_rtt_ms: float
    ) -> float:
        """Return the shortest relative round-trip time to the other upstreams of a service.

        Without any other upstream it is that of the first.
        """
        rtts_ms = [
            self._relative_rtts.relative_rtt_ms(record.data_centre)
            for record in self._upstream_view.usable(service)
            if record.upstream_id != first.upstream_id
        ]
        return min(rtts_ms, default=first_relative_rtt_ms)

    def has_untried(
        self,
        route: Route,
        service: str,
        tried: Collection[str],
        now_ms: float,
        only_id: str | None = None,
    ) -> bool:
        """Return whether any untried upstream may be used, now or once it has a free slot.

        ``only_id`` is the one that may be used, if it is not any.
        """
        return any(
            record.upstream_id not in tried
            and only_id in (None, record.upstream_id)
            and self._is_allowed(route, record)
            and now_ms >= self.estimate_of(record.upstream_id).excluded_until_ms
            for record in self._upstream_view.usable(service)
        )

    def choose(
        self,
        route: Route,
        service: UpstreamService,
        tried: Collection[str],
        median_latency_ms: float,
        now_ms: float,
        skip_avoided: bool = False,
        only_id: str | None = None,
    ) -> UpstreamRecord | None:
        """Return the best upstream that was not tried; None if there is none.

        ``skip_avoided`` leaves out upstreams that are avoided at present, which otherwise only get
        a penalty. ``only_id`` is the one that may be used, if it is not any.
        """
        max_in_flight = self._max_in_flight(service)
        best, best_ms = None, float("inf")
        for record in self._upstream_view.usable(service.name):
            if only_id is not None and record.upstream_id != only_id:
                continue
            estimate = self.estimate_of(record.upstream_id)
            if record.upstream_id in tried or estimate.in_flight >= max_in_flight:
                continue
            if now_ms < estimate.excluded_until_ms or not self._is_allowed(route, record):
                continue
            if not self.cold_limiter.may_send(record.upstream_id, service, now_ms):
                continue
            is_avoided = now_ms < estimate.avoid_until_ms
            if is_avoided and skip_avoided:
                continue
            expected_ms = self._expected_ms(record, estimate, median_latency_ms, now_ms)
            if is_avoided:
                expected_ms += FAILURE_PENALTY_MS
            if expected_ms < best_ms:
                best, best_ms = record, expected_ms
        return best

    def _expected_ms(
        self,
        record: UpstreamRecord,
        estimate: UpstreamEstimate,
        median_latency_ms: float,
        now_ms: float,
    ) -> float:
        load_factor = 1.0 + estimate.in_flight / max(1, record.slots)
        expected_ms = median_latency_ms * estimate.slowness_at(now_ms) * load_factor
        if self.cold_limiter.is_cold(record.upstream_id, now_ms):
            expected_ms *= COLD_LATENCY_FACTOR
        expected_ms += FAILURE_PENALTY_MS * estimate.failure_share_at(now_ms)
        expected_ms *= 1.0 + JITTER_SHARE * self._random.random()
        expected_ms += self._relative_rtts.relative_rtt_ms(record.data_centre)
        if not self._is_in_own_region(record):
            expected_ms += CROSS_REGION_PENALTY_MS
        return expected_ms

    def _is_in_own_region(self, record: UpstreamRecord) -> bool:
        return self._settings.regions.get(record.data_centre) == self._settings.region

    def _max_in_flight(self, service: UpstreamService) -> int:
        return max(MIN_CONNECTIONS, service.max_connections // self._instance_count)

    def _is_allowed(self, route: Route, record: UpstreamRecord) -> bool:
        if not route.allowed_regions:
            return True
        return self._settings.regions.get(record.data_centre) in route.allowed_regions
