"""Count from the logs of all instances the requests that crash upstreams."""

from dataclasses import dataclass, field
from datetime import datetime

from geraniumlead_client.log_lines import LogLine

STRIKE_EVENT = "crash_strike"
CRASHES_UPSTREAMS = "crashes_upstreams"

MAX_STRIKES = 3
"""Upstreams that a request may crash before every instance should refuse it."""

NOTICE_TIME_S = 4.0
"""Time after the last allowed crash within which every instance should know of the request."""


@dataclass(slots=True)
class CrashCounts:
    """Requests that crash upstreams: their strikes, their refusals, and the tries sent too late.

    A try is sent too late if an upstream is lost under it more than NOTICE_TIME_S after the third
    one, so that the instance which sent it should have known better. ``worst`` is the fingerprint
    of the request with most strikes.
    """

    requests: int = 0
    strikes: int = 0
    refused: int = 0
    sent_too_late: int = 0
    worst: str | None = None
    worst_strikes: int = 0


@dataclass(slots=True)
class CrashReport:
    """Collects the lines that tell of crashes, in any order."""

    refused: int = 0
    strikes: dict[str, list[tuple[datetime, str]]] = field(default_factory=dict)

    def add(self, line: LogLine) -> None:
        """Add one line; those of other events are ignored."""
        fields = line.fields
        if line.event == STRIKE_EVENT:
            strike = (datetime.fromisoformat(line.time), str(fields.get("request_id")))
            self.strikes.setdefault(str(fields.get("fingerprint")), []).append(strike)
        elif line.event == "request" and fields.get("reason") == CRASHES_UPSTREAMS:
            self.refused += 1

    def count(self) -> CrashCounts:
        """Return the counts over all lines added so far."""
        counts = CrashCounts(requests=len(self.strikes), refused=self.refused)
        for fingerprint, strikes in sorted(self.strikes.items()):
            counts.strikes += len(strikes)
            counts.sent_too_late += len(_find_late_tries(strikes))
            if len(strikes) > counts.worst_strikes:
                counts.worst, counts.worst_strikes = fingerprint, len(strikes)
        return counts


def _find_late_tries(strikes: list[tuple[datetime, str]]) -> set[str]:
    """Return the request ids under which upstreams were lost too long after the third one."""
    ordered = sorted(strikes)
    if len(ordered) < MAX_STRIKES:
        return set()
    third_time, _ = ordered[MAX_STRIKES - 1]
    return {
        request_id
        for time, request_id in ordered
        if (time - third_time).total_seconds() > NOTICE_TIME_S
    }
