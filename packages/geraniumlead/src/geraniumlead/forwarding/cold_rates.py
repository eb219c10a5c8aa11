"""Share out the requests that cold upstreams take each second."""

from collections import deque
from collections.abc import Sequence

from geraniumlead.hashing import rank_by_rendezvous
from geraniumlead.routes import UpstreamService
from geraniumlead.settings.forwarding_settings import ForwardingSettings

SAFE_PART = 0.7
"""Part of what a cold upstream takes that is given out: while an instance starts or ends, views
of how many there are differ by one or two."""

WINDOW_MS = 1_100.0
"""Time in which this instance's requests are counted: the bound's second, and a tenth for
requests that were sent some milliseconds apart and arrive together."""


class ColdRates:
    """Bound what this instance sends to each upstream that is cold.

    Load pattern: a data centre comes back, or an upstream starts, and takes a few requests a
    second until its caches are filled; with more it crashes, starts again, and is cold again.
    All instances find it idle at the same moment and send it their next requests.

    Each instance gets an equal part of what the upstream takes from all of them. Where that
    is less than one request a second, some instances get one and the others none: those that
    rank first for the upstream among the instances that live. Views of who lives differ for
    moments only, and SAFE_PART covers one or two too many.
    """

    __slots__ = ("_cold_until_ms", "_count", "_live", "_sent_ms", "_settings")

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._count = 1
        self._live: tuple[str, ...] = ()
        self._cold_until_ms: dict[str, float] = {}
        self._sent_ms: dict[str, deque[float]] = {}

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Take over changed settings."""
        self._settings = settings

    def set_instances(self, count: int, live: Sequence[str]) -> None:
        """Take over how many instances there may be, and the names of those that live."""
        self._count = max(1, count)
        self._live = tuple(live)

    def note_cold(self, upstream_id: str, cold_ms: float, now_ms: float) -> None:
        """Note that an upstream is cold for some time.

        A shorter time does not end a longer one: what the upstream publishes may be some
        seconds old, from before it turned cold.
        """
        until_ms = now_ms + cold_ms
        if cold_ms > 0.0 and until_ms > self._cold_until_ms.get(upstream_id, 0.0):
            self._cold_until_ms[upstream_id] = until_ms

    def forget(self, upstream_id: str) -> None:
        """Forget an upstream that is gone or began a new life."""
        self._cold_until_ms.pop(upstream_id, None)
        self._sent_ms.pop(upstream_id, None)

    def is_cold(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether an upstream has not warmed up yet."""
        return now_ms < self._cold_until_ms.get(upstream_id, float("-inf"))

    def may_send(self, upstream_id: str, service: UpstreamService, now_ms: float) -> bool:
        """Return whether a request may be sent to an upstream now."""
        if service.cold_requests_per_s <= 0.0 or not self.is_cold(upstream_id, now_ms):
            return True
        sent = self._sent_ms.get(upstream_id, ())
        recent = sum(1 for sent_ms in sent if now_ms - sent_ms < WINDOW_MS)
        return recent < self._share(upstream_id, service)

    def note_sent(self, upstream_id: str, now_ms: float) -> None:
        """Count a request that goes to an upstream."""
        if not self.is_cold(upstream_id, now_ms):
            return
        sent = self._sent_ms.setdefault(upstream_id, deque())
        while sent and now_ms - sent[0] >= WINDOW_MS:
            sent.popleft()
        sent.append(now_ms)

    def _share(self, upstream_id: str, service: UpstreamService) -> int:
        """Return how many requests this instance may send in a window."""
        settings = self._settings
        most = settings.cold_factor * service.cold_requests_per_s + settings.cold_slack
        given = int(SAFE_PART * most)
        if given >= self._count:
            return given // self._count
        holders = rank_by_rendezvous(upstream_id, self._live)[:given]
        return int(settings.instance_id in holders)
