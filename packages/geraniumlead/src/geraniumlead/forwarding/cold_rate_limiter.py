from collections import deque
from collections.abc import Sequence

from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.routes import UpstreamService
from geraniumlead.settings.forwarding_settings import ForwardingSettings

SAFETY_SHARE = 0.7
"""Share of a cold upstream's rate that is distributed: while an instance starts or stops, the
instances' counts of the fleet differ by one or two."""

WINDOW_MS = 1_100.0
"""Window in which this instance's requests are counted: the second that the limit refers to, and a
tenth more for requests that are sent some milliseconds apart and arrive together."""


class ColdRateLimiter:
    """Limits the rate at which this instance sends requests to cold upstreams.

    Load pattern: a data centre comes back, or an upstream starts, and can take only a few requests
    a second until its caches are filled. With more it crashes, restarts, and is cold again. All
    instances see it idle at the same moment and would send it their next requests.

    Each instance gets an equal share of the upstream's rate. Where that is less than one request a
    second, some instances get one and the others none: those that rank first for the upstream among
    the live instances. Views of which instances are live differ only for moments, and
    ``SAFETY_SHARE`` covers one or two instances too many. A process that has just started does not
    know what its predecessor has sent, and sends nothing to a cold upstream within that window.
    """

    __slots__ = (
        "_cold_until_ms",
        "_instance_count",
        "_live_ids",
        "_sent_ms",
        "_settings",
        "_started_ms",
    )

    def __init__(self, settings: ForwardingSettings, started_ms: float) -> None:
        self._settings = settings
        self._started_ms = started_ms
        self._instance_count = 1
        self._live_ids: tuple[str, ...] = ()
        self._cold_until_ms: dict[str, float] = {}
        self._sent_ms: dict[str, deque[float]] = {}

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Apply changed settings."""
        self._settings = settings

    def set_instances(self, count: int, live_ids: Sequence[str]) -> None:
        """Set how many instances there may be, and the ids of the live ones."""
        self._instance_count = max(1, count)
        self._live_ids = tuple(live_ids)

    def record_cold(self, upstream_id: str, cold_ms: float, now_ms: float) -> None:
        """Record that an upstream is cold for some time.

        A shorter time does not replace a longer one: what the upstream publishes may be some
        seconds old, from before it became cold.
        """
        until_ms = now_ms + cold_ms
        if cold_ms > 0.0 and until_ms > self._cold_until_ms.get(upstream_id, 0.0):
            self._cold_until_ms[upstream_id] = until_ms

    def forget(self, upstream_id: str) -> None:
        """Discard the state of an upstream that is gone or restarted."""
        self._cold_until_ms.pop(upstream_id, None)
        self._sent_ms.pop(upstream_id, None)

    def is_cold(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether an upstream has not warmed up yet."""
        return now_ms < self._cold_until_ms.get(upstream_id, float("-inf"))

    def may_send(self, upstream_id: str, service: UpstreamService, now_ms: float) -> bool:
        """Return whether a request may be sent to an upstream now."""
        if service.cold_requests_per_s <= 0.0 or not self.is_cold(upstream_id, now_ms):
            return True
        if now_ms - self._started_ms < WINDOW_MS:
            return False
        sent = self._sent_ms.get(upstream_id, ())
        recent = sum(1 for sent_ms in sent if now_ms - sent_ms < WINDOW_MS)
        return recent < self._max_requests(upstream_id, service)

    def record_sent(self, upstream_id: str, now_ms: float) -> None:
        """Count a request that is sent to an upstream, if it is cold."""
        if not self.is_cold(upstream_id, now_ms):
            return
        sent = self._sent_ms.setdefault(upstream_id, deque())
        while sent and now_ms - sent[0] >= WINDOW_MS:
            sent.popleft()
        sent.append(now_ms)

    def _max_requests(self, upstream_id: str, service: UpstreamService) -> int:
        """Return how many requests this instance may send within a window."""
        settings = self._settings
        upstream_limit = settings.cold_factor * service.cold_requests_per_s + settings.cold_slack
        fleet_limit = int(SAFETY_SHARE * upstream_limit)
        if fleet_limit >= self._instance_count:
            return fleet_limit // self._instance_count
        senders = rank_by_rendezvous(upstream_id, self._live_ids)[:fleet_limit]
        return int(settings.instance_id in senders)
