"""Say how often the platform's store is asked, and how long an answer is waited for."""

from dataclasses import dataclass

WATCH_PART = 1.5
"""Parts of the bound that a watch waits for a change. Without changes it is all the calls that an
instance makes, so it is long; while there are any it waits for ``pause_ms`` only, so that a
silent store is noticed soon."""

PROMPT_WATCH_MS = 1.0
"""Wait of a watch after a lost call, or of a reader that heard nothing: what counts then is what
the store says now. A longer wait proves a view only at its end, and a silent store is noticed
as much later."""

TELLING_PART = 2.5
"""Parts of the bound that one who tells others waits for a change, or gathers changes: there are
two of them, who tell each other as well, so that everybody hears about twice as often."""

PAUSE_PART = 4.0
"""Parts of the bound in which changes are gathered into one call: a change is known after a
quarter of the bound, and one lost answer still leaves it kept."""

PATIENCE_PART = 2.0
"""Parts of the bound that one who does not watch waits to hear from a watcher. What it then asks
for itself is still known within the bound, also with PATIENCE_SPREAD of it added."""

PATIENCE_SPREAD = 0.25

RETRY_PART = 4.0
SLACK_PART = 6.0
READ_PART = 2.0

LONGEST_RETRY_MS = 2_000.0
"""Below the time in which a change must be in force; 22 watchers then make 11 tries a second."""

LEAST_RETRY_MS = 500.0
LEAST_SLACK_MS = 300.0
LONGEST_SLACK_MS = 1_000.0
LEAST_READ_MS = 1_000.0
LONGEST_READ_MS = 2_000.0
"""A slow store takes some hundred times its usual 4 ms; the least times leave room for that."""


@dataclass(frozen=True, slots=True)
class ReadingPace:
    """Hold the times of reading the store, all by the shortest bound on changes.

    ``slack_ms`` is how much longer than its wait a watch may take before its connection counts
    as silent, ``read_ms`` the same for a page of the state, and ``longest_retry_ms`` the longest
    pause between tries.

    Load pattern: nothing changes for minutes, or hundreds of upstreams start and change their
    entries each second, and the store is away, silent or turns instances away at any moment.

    Failure: a call went out just before the store was back, and its answer is lost. The longest
    wait for it and the pause after it together stay below the bound, so that what changed
    meanwhile is in force as soon as if it had been acknowledged at the return.
    """

    watch_ms: float
    telling_ms: float
    pause_ms: float
    patience_ms: float
    longest_retry_ms: float
    slack_ms: float
    read_ms: float

    @classmethod
    def from_bound(cls, bound_ms: float) -> "ReadingPace":
        """Return the times for the shortest bound."""
        return cls(
            watch_ms=bound_ms / WATCH_PART,
            telling_ms=bound_ms / TELLING_PART,
            pause_ms=bound_ms / PAUSE_PART,
            patience_ms=bound_ms / PATIENCE_PART,
            longest_retry_ms=_between(LEAST_RETRY_MS, bound_ms / RETRY_PART, LONGEST_RETRY_MS),
            slack_ms=_between(LEAST_SLACK_MS, bound_ms / SLACK_PART, LONGEST_SLACK_MS),
            read_ms=_between(LEAST_READ_MS, bound_ms / READ_PART, LONGEST_READ_MS),
        )


def _between(least_ms: float, time_ms: float, most_ms: float) -> float:
    return max(least_ms, min(time_ms, most_ms))
