"""Log the forwarder's decisions at a limited rate."""

import logging

from geraniumlead.forwarding import LogDecision

MAX_LINES_PER_S = 100.0
"""For one instance; a line costs about 40 us, so that all cost 0.4% of a core."""

RESERVED_BUDGET_SHARE = 0.5
"""Share of the budget that is reserved: below it, lines of ordinary answers are skipped, since
operators get complaints about failed and late ones."""

ALWAYS_LOGGED_EVENTS = frozenset(
    {
        "configuration",
        "cut_off",
        "evacuated",
        "extra_attempts",
        "published",
        "store_lost",
        "store_regained",
        "store_returned",
    }
)
"""Changes of the state that an instance as a whole observes, and its extra attempts: a few lines a
second at most. All of them are needed to investigate a complaint about old routes, or to add up the
extra attempts of all instances."""

MILLISECONDS_PER_S = 1000.0

logger = logging.getLogger("geraniumlead")


class DecisionLog:
    """Logs decisions; under load the ordinary ones are counted instead.

    Load pattern: a burst is refused, hundreds of requests a second. A line for each would cost
    as much as the refusals. One request is one line, so it is logged completely or not at all.

    Failure: hundreds of upstreams leave in one read of the store, their lines use up the budget,
    and the line of the configuration that was read with them is missing from the log.
    """

    def __init__(self, now_ms: float = 0.0, lines_per_s: float = MAX_LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._budget = lines_per_s
        self._refilled_ms = now_ms
        self._skipped = 0

    def observe(self, decision: LogDecision, now_ms: float) -> None:
        """Log one decision, or count it as skipped."""
        refill = (now_ms - self._refilled_ms) * self._lines_per_s / MILLISECONDS_PER_S
        self._budget = min(self._lines_per_s, self._budget + refill)
        self._refilled_ms = now_ms
        is_ordinary = decision.name == "request" and decision.level == "info"
        required_budget = self._lines_per_s * RESERVED_BUDGET_SHARE if is_ordinary else 1.0
        if self._budget < required_budget and decision.name not in ALWAYS_LOGGED_EVENTS:
            self._skipped += 1
            return
        self._budget = max(0.0, self._budget - 1.0)
        fields = {**decision.fields, "skipped_lines": self._skipped}
        self._skipped = 0
        level = logging.WARNING if decision.level == "warning" else logging.INFO
        logger.log(level, decision.name, extra={"fields": fields})
