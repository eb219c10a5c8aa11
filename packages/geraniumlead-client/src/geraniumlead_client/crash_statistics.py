"""Count from the logs of all instances the requests that crash upstreams."""

from dataclasses import dataclass, field
from datetime import datetime

from geraniumlead_client.log_lines import LogLine

STRIKE_EVENT = "crash_strike"
CRASH_EVENTS = frozenset({STRIKE_EVENT, "crash_told", "crash_notice"})
CRASHES_UPSTREAMS = "crashes_upstreams"

NOTICE_TIME_S = 4.0
"""Time after the first refusal within which every instance should know of the request."""


@dataclass(slots=True)
class CrashCounts:
    """Requests under which upstreams were lost, their refusals, and the tries sent too late.

    A try is sent too late if an upstream is lost under it more than NOTICE_TIME_S after any
    instance has decided to refuse the request. ``worst`` is the fingerprint of the request with
    most strikes, which may be a harmless one that is answered in between.
    """

    requests: int = 0
    strikes: int = 0
    refused: int = 0
    sent_too_late: int = 0
    worst: str | None = None
    worst_strikes: int = 0


@dataclass(frozen=True, slots=True)
class Strike:
    """An upstream that was lost under a try of a request."""

    time: datetime
    request_id: str


@dataclass(slots=True)
class CrashStatistics:
    """Collects the lines that tell of crashes, in any order."""

    refused: int = 0
    strikes: dict[str, list[Strike]] = field(default_factory=dict)
    refused_since: dict[str, datetime] = field(default_factory=dict)

    def add(self, line: LogLine) -> None:
        """Add one line; those of other events are ignored."""
        fields = line.fields
        if line.event in CRASH_EVENTS:
            self._add_crash(line, str(fields.get("fingerprint")))
        elif line.event == "request" and fields.get("reason") == CRASHES_UPSTREAMS:
            self.refused += 1

    def count(self) -> CrashCounts:
        """Return the counts over all lines added so far."""
        counts = CrashCounts(requests=len(self.strikes), refused=self.refused)
        for fingerprint, strikes in sorted(self.strikes.items()):
            counts.strikes += len(strikes)
            counts.sent_too_late += len(self._find_late_tries(fingerprint, strikes))
            if len(strikes) > counts.worst_strikes:
                counts.worst, counts.worst_strikes = fingerprint, len(strikes)
        return counts

    def _add_crash(self, line: LogLine, fingerprint: str) -> None:
        time = datetime.fromisoformat(line.time)
        if line.event == STRIKE_EVENT:
            strike = Strike(time, str(line.fields.get("request_id")))
            self.strikes.setdefault(fingerprint, []).append(strike)
        if line.fields.get("is_refused"):
            self.refused_since[fingerprint] = min(time, self.refused_since.get(fingerprint, time))

    def _find_late_tries(self, fingerprint: str, strikes: list[Strike]) -> set[str]:
        """Return the request ids under which upstreams were lost too long after the refusal."""
        since = self.refused_since.get(fingerprint)
        if since is None:
            return set()
        return {
            strike.request_id
            for strike in strikes
            if (strike.time - since).total_seconds() > NOTICE_TIME_S
        }
