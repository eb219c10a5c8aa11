"""Write the forwarder's decisions within a budget of lines."""

import logging

from geraniumlead.forwarding import LogDecision

MOST_LINES_PER_S = 100.0
"""Lines a second of one instance; one costs about 40 us, so all cost 0.4% of a core."""

QUIET_PART = 0.5
"""Budget below which lines of ordinary answers are left out: failed and late ones are what a
complaint is about."""

KEPT_NAMES = frozenset(
    {
        "configuration",
        "cut_off",
        "evacuated",
        "published",
        "store_lost",
        "store_regained",
    }
)
"""What an instance comes to believe as a whole: a few lines a second at the most, of which a
complaint about old routes cannot spare one."""

MILLISECONDS_PER_S = 1000.0

logger = logging.getLogger("geraniumlead")


class DecisionLog:
    """Log decisions; under load the ordinary ones are counted instead.

    Load pattern: a burst is refused, hundreds of requests a second. A line for each would
    cost as much as the refusals. One request is one line, so it is there whole or not at all.

    Failure: hundreds of upstreams leave in one reading, their lines use up the budget, and the
    line of the configuration that came with them is missing from the log.
    """

    def __init__(self, now_ms: float = 0.0, lines_per_s: float = MOST_LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._budget = lines_per_s
        self._refilled_ms = now_ms
        self._skipped = 0

    def observe(self, decision: LogDecision, now_ms: float) -> None:
        """Write one decision, or count it."""
        refill = (now_ms - self._refilled_ms) * self._lines_per_s / MILLISECONDS_PER_S
        self._budget = min(self._lines_per_s, self._budget + refill)
        self._refilled_ms = now_ms
        is_ordinary = decision.name == "request" and decision.level == "info"
        least = self._lines_per_s * QUIET_PART if is_ordinary else 1.0
        if self._budget < least and decision.name not in KEPT_NAMES:
            self._skipped += 1
            return
        self._budget = max(0.0, self._budget - 1.0)
        fields = {**decision.fields, "skipped_lines": self._skipped}
        self._skipped = 0
        level = logging.WARNING if decision.level == "warning" else logging.INFO
        logger.log(level, decision.name, extra={"fields": fields})
