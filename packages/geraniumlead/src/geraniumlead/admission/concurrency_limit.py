"""Adapt the requests in service to what the upstreams can bear."""

FIRST_LIMIT = 8.0
LEAST_LIMIT = 2.0

WINDOW_MS = 100.0
LEAST_SAMPLES = 16
"""A window closes after this time and with this many answers: single latencies scatter by
a factor of three, the mean of 16 by a tenth."""

TOLERANCE = 2.5
"""Latency against the unloaded one at which the limit stands still.

Trials at three times the capacity (two instances, four shards; one seed): 1.6 gave 88% of
the goodput that the slots allow, 2.0 gave 92%, 2.5 gave 95%, 3.0 gave 96% with a first-class
p99 a quarter higher.
"""

MOST_GROWTH = 1.25
MOST_SHRINK = 0.7

SATURATED_SHARE = 0.5
PROBE_SHARE = 0.25
FIRST_PROBE_MS = 500.0
MOST_PROBE_MS = 15_000.0
NEWS_SHARE = 0.8
"""Under lasting load nobody sees the unloaded latency; a quarter of the limit, well below
the concurrency that fills the upstreams, shows it within one window. A probe that finds less
than four fifths of the known latency is news, and the next one follows soon; each that finds
none doubles the time, up to one window in 150, at half a percent of the capacity."""

LEAST_LATENCY_MS = 0.001
"""Latencies are divided by one another, so none may be zero."""


class ConcurrencyLimit:
    """Bound the cost in service by a gradient of latency.

    Load pattern: more requests arrive than the upstreams can serve. Without a limit they
    queue at the upstreams, where nobody orders them by class or gives them up, and all of
    them get late. With a fixed limit the figure is wrong as soon as an upstream is lost or
    added. The limit follows latency: it grows while it is used and latency stays within
    ``TOLERANCE`` of the unloaded one, and shrinks in proportion beyond. By Little's law it
    then settles at ``TOLERANCE`` times the concurrency that just fills the upstreams.
    The unloaded latency only rises while the limit is little used, or a limit that lets
    queues grow would take the queues for normal.
    """

    __slots__ = (
        "_baselines",
        "_closes_ms",
        "_latencies",
        "_latency_sum",
        "_mean_ms",
        "_peak",
        "_probe_began_ms",
        "_probe_due_ms",
        "_probe_every_ms",
        "_probing",
        "_samples",
        "_value",
    )

    def __init__(self) -> None:
        self._value = FIRST_LIMIT
        self._baselines: dict[str, float] = {}
        self._closes_ms = 0.0
        self._latencies: dict[str, list[float]] = {}
        self._samples = 0
        self._latency_sum = 0.0
        self._mean_ms = 0.0
        self._peak = 0.0
        self._probing = False
        self._probe_began_ms = 0.0
        self._probe_every_ms = FIRST_PROBE_MS
        self._probe_due_ms = FIRST_PROBE_MS

    @property
    def value(self) -> float:
        """Return the cost that may be in service now."""
        return max(LEAST_LIMIT, self._value * PROBE_SHARE) if self._probing else self._value

    def note_in_service(self, cost: float) -> None:
        """Note how much of the limit is used."""
        self._peak = max(self._peak, cost)

    def baseline_ms(self, kind: str) -> float:
        """Return the unloaded latency of a kind of request; 0 while it is unknown."""
        return self._baselines.get(kind, 0.0)

    def capacity_per_s(self) -> float:
        """Return the cost a second that the limit lets through, by Little's law."""
        return 0.0 if self._mean_ms <= 0.0 else 1000.0 * self._value / self._mean_ms

    def observe(self, kind: str, started_ms: float, now_ms: float) -> None:
        """Take in the latency of one request that was served."""
        if started_ms < self._probe_began_ms:
            return
        latency_ms = now_ms - started_ms
        self._latencies.setdefault(kind, []).append(latency_ms)
        self._samples += 1
        self._latency_sum += latency_ms
        if self._samples >= LEAST_SAMPLES and now_ms >= self._closes_ms:
            self._close_window(now_ms)

    def note_shed(self) -> None:
        """Shrink at once: an upstream refused work that the limit had let through."""
        self._value = max(LEAST_LIMIT, self._value * 0.98)

    def _close_window(self, now_ms: float) -> None:
        ratio, news = self._take_ratio()
        window_ms = self._latency_sum / self._samples
        self._mean_ms = window_ms if not self._mean_ms else 0.7 * self._mean_ms + 0.3 * window_ms
        was_full = self._peak >= 0.9 * self.value
        if self._probing:
            found_news = news < NEWS_SHARE
            longer_ms = min(MOST_PROBE_MS, 2.0 * self._probe_every_ms)
            self._probe_every_ms = FIRST_PROBE_MS if found_news else longer_ms
            self._probe_due_ms = now_ms + self._probe_every_ms
            self._probing = False
        else:
            self._adapt(ratio, was_full)
            if not was_full:
                self._probe_due_ms = now_ms + self._probe_every_ms
            self._probing = was_full and now_ms >= self._probe_due_ms
            if self._probing:
                # What started before the probe would show the load that it had.
                self._probe_began_ms = now_ms
        self._samples, self._latency_sum, self._peak = 0, 0.0, 0.0
        self._closes_ms = now_ms + WINDOW_MS

    def _take_ratio(self) -> tuple[float, float]:
        is_light = self._peak <= SATURATED_SHARE * self._value
        weighted, news = 0.0, 1.0
        for kind, latencies in self._latencies.items():
            # A clock that stands still between two events gives a latency of nothing.
            mean_ms = max(LEAST_LATENCY_MS, sum(latencies) / len(latencies))
            known_ms = self._baselines.get(kind, mean_ms)
            news = min(news, mean_ms / known_ms)
            known_ms += self._weight_of(mean_ms / known_ms, is_light) * (mean_ms - known_ms)
            self._baselines[kind] = known_ms
            weighted += len(latencies) * mean_ms / known_ms
        self._latencies = {}
        return weighted / self._samples, news

    def _weight_of(self, ratio: float, is_light: bool) -> float:
        """Return the weight of a window's mean in the unloaded latency.

        A probe shows it, so its mean counts in both directions, or the smallest of many
        scattered means would win and the limit would sink. Of a loaded window only a lower
        mean is news.
        """
        if self._probing:
            return 1.0 if ratio < NEWS_SHARE else 0.3
        return 0.1 if ratio < 1.0 or is_light else 0.0

    def _adapt(self, ratio: float, was_full: bool) -> None:
        step = min(MOST_GROWTH, max(MOST_SHRINK, TOLERANCE / ratio))
        if step > 1.0 and not was_full:
            return
        self._value = max(LEAST_LIMIT, self._value * (1.0 + 0.5 * (step - 1.0)))
