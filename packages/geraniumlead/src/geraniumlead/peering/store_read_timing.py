from dataclasses import dataclass

WATCH_DIVISOR = 1.5
"""The bound divided by this is how long a watch waits for a change. Without changes, watches are
the only calls that an instance makes, so the wait is long. While there are changes it is only
``batching_ms``, so that a store that does not answer is noticed soon."""

SHORT_WATCH_MS = 1.0
"""Wait of a watch after a failed call, or of a reader that got no updates: it needs the present
state of the store. A longer wait confirms a view only at its end, and a store that does not
answer is noticed that much later."""

RELAY_WATCH_DIVISOR = 2.5
"""The bound divided by this is how long a watcher that relays updates waits for a change, or
batches changes. There are two such watchers, which also send updates to each other, so every
instance gets updates about twice as often."""

BATCHING_DIVISOR = 4.0
"""The bound divided by this is the time in which changes are batched into one call: a change is
known after a quarter of the bound, and the bound is kept even if one answer is lost."""

UPDATE_TIMEOUT_DIVISOR = 2.0
"""The bound divided by this is how long an instance that does not watch waits for updates of a
watcher before it reads the store itself. The result of that read still arrives within the bound,
even if the wait is longer by UPDATE_TIMEOUT_JITTER of itself."""

UPDATE_TIMEOUT_JITTER = 0.25

RETRY_DIVISOR = 4.0
SLACK_DIVISOR = 6.0
READ_DIVISOR = 2.0

MAX_RETRY_MS = 2_000.0
"""Less than the time within which a change must be in force; 22 watchers then make 11 attempts
a second."""

MIN_RETRY_MS = 500.0
MIN_SLACK_MS = 300.0
MAX_SLACK_MS = 1_000.0
MIN_READ_MS = 1_000.0
MAX_READ_MS = 2_000.0
"""A slow store takes some hundred times the normal 4 ms; the minimum times allow for that."""


@dataclass(frozen=True, slots=True)
class StoreReadTiming:
    """The intervals and timeouts of reads of the platform's store.

    All are derived from the shortest bound within which a change must be in force. ``slack_ms``
    is how much longer than its wait a watch may take before its connection counts as silent,
    ``read_timeout_ms`` the same for a page of the state, and ``max_retry_ms`` the longest pause
    between attempts.

    Load pattern: nothing changes for minutes, or hundreds of upstreams start and change their
    entries each second, and at any moment the store may be unavailable, not answer or reject
    calls.

    Failure: a call was sent just before the store came back, and its answer is lost. The longest
    wait for it and the pause after it are together below the bound, so changes made meanwhile
    are in force as soon as if they had been acknowledged when the store came back.
    """

    watch_ms: float
    relay_watch_ms: float
    batching_ms: float
    update_timeout_ms: float
    max_retry_ms: float
    slack_ms: float
    read_timeout_ms: float

    @classmethod
    def from_bound(cls, bound_ms: float) -> "StoreReadTiming":
        """Return the timing for the shortest bound on changes."""
        return cls(
            watch_ms=bound_ms / WATCH_DIVISOR,
            relay_watch_ms=bound_ms / RELAY_WATCH_DIVISOR,
            batching_ms=bound_ms / BATCHING_DIVISOR,
            update_timeout_ms=bound_ms / UPDATE_TIMEOUT_DIVISOR,
            max_retry_ms=_clamp(MIN_RETRY_MS, bound_ms / RETRY_DIVISOR, MAX_RETRY_MS),
            slack_ms=_clamp(MIN_SLACK_MS, bound_ms / SLACK_DIVISOR, MAX_SLACK_MS),
            read_timeout_ms=_clamp(MIN_READ_MS, bound_ms / READ_DIVISOR, MAX_READ_MS),
        )


def _clamp(min_ms: float, time_ms: float, max_ms: float) -> float:
    return max(min_ms, min(time_ms, max_ms))
