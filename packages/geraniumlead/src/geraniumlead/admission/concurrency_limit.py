INITIAL_LIMIT = 8.0
MIN_LIMIT = 2.0

WINDOW_MS = 100.0
MIN_SAMPLES = 16
"""A window ends once it has lasted this long and holds this many samples. Single latencies vary
by a factor of three, the mean of 16 by a tenth."""

TOLERANCE = 2.5
"""Ratio of the latency to the unloaded latency at which the limit stays constant.

At three times the capacity (two instances, four shards; one seed), 1.6 gave 88% of the goodput
that the slots allow, 2.0 gave 92%, 2.5 gave 95%, and 3.0 gave 96% with a p99 of priority 0 that
was a quarter higher.
"""

MAX_STEP_FACTOR = 1.25
MIN_STEP_FACTOR = 0.7

LIGHT_LOAD_SHARE = 0.5
PROBE_SHARE = 0.25
MIN_PROBE_INTERVAL_MS = 500.0
MAX_PROBE_INTERVAL_MS = 15_000.0
LOWER_BASELINE_RATIO = 0.8
"""The unloaded latency can't be observed under sustained load. A probe lowers the limit to a
quarter, well below the concurrency that saturates the upstreams, and shows it within one window.
If a probe finds less than four fifths of the known unloaded latency, the next probe follows after
the shortest interval. Each other probe doubles the interval, up to one window in 150, which costs
half a percent of the capacity."""

MIN_LATENCY_MS = 0.001
"""Lower bound of a mean latency, which is used as a divisor."""


class ConcurrencyLimit:
    """An adaptive limit of the cost in service, driven by the latency gradient.

    Load pattern: more requests arrive than the upstreams can serve. Without a limit they
    queue at the upstreams, which neither order them by class nor drop those whose deadline is
    too close, so all of them are late. A fixed limit is wrong as soon as an upstream is lost or
    added. This limit follows the latency: it grows while it is used up and the latency stays
    within ``TOLERANCE`` times the unloaded latency, and shrinks in proportion above that. By
    Little's law it settles at ``TOLERANCE`` times the concurrency that just saturates the
    upstreams. The estimate of the unloaded latency is raised only while the limit is lightly
    used or probed. Otherwise queueing time would become part of it.
    """

    __slots__ = (
        "_baselines",
        "_latencies",
        "_latency_sum",
        "_mean_latency_ms",
        "_next_probe_ms",
        "_peak_in_service",
        "_probe_interval_ms",
        "_probe_started_ms",
        "_probing",
        "_samples",
        "_value",
        "_window_end_ms",
    )

    def __init__(self) -> None:
        self._value = INITIAL_LIMIT
        self._baselines: dict[str, float] = {}
        self._window_end_ms = 0.0
        self._latencies: dict[str, list[float]] = {}
        self._samples = 0
        self._latency_sum = 0.0
        self._mean_latency_ms = 0.0
        self._peak_in_service = 0.0
        self._probing = False
        self._probe_started_ms = 0.0
        self._probe_interval_ms = MIN_PROBE_INTERVAL_MS
        self._next_probe_ms = MIN_PROBE_INTERVAL_MS

    @property
    def value(self) -> float:
        """Return the highest cost that may be in service now."""
        return max(MIN_LIMIT, self._value * PROBE_SHARE) if self._probing else self._value

    def record_in_service(self, cost: float) -> None:
        """Record the cost that is in service."""
        self._peak_in_service = max(self._peak_in_service, cost)

    def baseline_ms(self, kind: str) -> float:
        """Return the unloaded latency of a kind of request, or 0 while it is unknown."""
        return self._baselines.get(kind, 0.0)

    def capacity_per_s(self) -> float:
        """Return the cost per second that the limit allows, by Little's law."""
        return 0.0 if self._mean_latency_ms <= 0.0 else 1000.0 * self._value / self._mean_latency_ms

    def observe(self, kind: str, started_ms: float, now_ms: float) -> None:
        """Record the latency of a request that was served."""
        if started_ms < self._probe_started_ms:
            return
        latency_ms = now_ms - started_ms
        self._latencies.setdefault(kind, []).append(latency_ms)
        self._samples += 1
        self._latency_sum += latency_ms
        if self._samples >= MIN_SAMPLES and now_ms >= self._window_end_ms:
            self._close_window(now_ms)

    def record_shed(self) -> None:
        """Shrink immediately after an upstream refused work that the limit had admitted."""
        self._value = max(MIN_LIMIT, self._value * 0.98)

    def _close_window(self, now_ms: float) -> None:
        ratio, lowest_ratio = self._pop_latency_ratios()
        window_mean_ms = self._latency_sum / self._samples
        self._mean_latency_ms = (
            window_mean_ms
            if not self._mean_latency_ms
            else 0.7 * self._mean_latency_ms + 0.3 * window_mean_ms
        )
        was_full = self._peak_in_service >= 0.9 * self.value
        if self._probing:
            found_lower = lowest_ratio < LOWER_BASELINE_RATIO
            doubled_ms = min(MAX_PROBE_INTERVAL_MS, 2.0 * self._probe_interval_ms)
            self._probe_interval_ms = MIN_PROBE_INTERVAL_MS if found_lower else doubled_ms
            self._next_probe_ms = now_ms + self._probe_interval_ms
            self._probing = False
        else:
            self._adapt(ratio, was_full)
            if not was_full:
                self._next_probe_ms = now_ms + self._probe_interval_ms
            self._probing = was_full and now_ms >= self._next_probe_ms
            if self._probing:
                # A request that started before the probe shows the latency under the old load.
                self._probe_started_ms = now_ms
        self._samples, self._latency_sum, self._peak_in_service = 0, 0.0, 0.0
        self._window_end_ms = now_ms + WINDOW_MS

    def _pop_latency_ratios(self) -> tuple[float, float]:
        is_lightly_used = self._peak_in_service <= LIGHT_LOAD_SHARE * self._value
        weighted_ratio, lowest_ratio = 0.0, 1.0
        for kind, latencies in self._latencies.items():
            # The latency is zero if the clock does not advance between two events.
            mean_ms = max(MIN_LATENCY_MS, sum(latencies) / len(latencies))
            baseline_ms = self._baselines.get(kind, mean_ms)
            lowest_ratio = min(lowest_ratio, mean_ms / baseline_ms)
            baseline_ms += self._baseline_weight(mean_ms / baseline_ms, is_lightly_used) * (
                mean_ms - baseline_ms
            )
            self._baselines[kind] = baseline_ms
            weighted_ratio += len(latencies) * mean_ms / baseline_ms
        self._latencies = {}
        return weighted_ratio / self._samples, lowest_ratio

    def _baseline_weight(self, ratio: float, is_lightly_used: bool) -> float:
        """Return the weight of a window's mean in the estimate of the unloaded latency.

        The mean of a probe counts whether it is lower or higher than the estimate. Otherwise
        the estimate would follow the smallest of many varying means and the limit would fall.
        The mean of a loaded window counts only if it is lower.
        """
        if self._probing:
            return 1.0 if ratio < LOWER_BASELINE_RATIO else 0.3
        return 0.1 if ratio < 1.0 or is_lightly_used else 0.0

    def _adapt(self, ratio: float, was_full: bool) -> None:
        step = min(MAX_STEP_FACTOR, max(MIN_STEP_FACTOR, TOLERANCE / ratio))
        if step > 1.0 and not was_full:
            return
        self._value = max(MIN_LIMIT, self._value * (1.0 + 0.5 * (step - 1.0)))
