"""Define the intervals and timeouts that an instance's decisions use."""

from typing import Annotated

from msgspec import Meta, Struct

Milliseconds = Annotated[float, Meta(ge=0, le=3_600_000)]


class TimingSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Intervals and timeouts; the defaults suit the present sizes of both users' fleets.

    ``list_lag_ms`` is the longest time by which an instance's list of instances is out of date:
    the lag of the platform itself, the transmission to the instance, and pauses of the process of
    up to ``pause_gap_ms``. ``pause_gap_ms`` is the gap on the monotonic clock after which a view
    counts as stale. ``stop_notice_ms`` is how long a stopping instance waits for the load balancer
    to notice. ``stop_bound_ms`` is the time limit of the whole graceful shutdown.
    """

    heartbeat_interval_ms: Milliseconds = 500.0
    peer_timeout_ms: Milliseconds = 2_500.0
    list_lag_ms: Milliseconds = 3_000.0
    pause_gap_ms: Milliseconds = 1_500.0
    stop_notice_ms: Milliseconds = 1_500.0
    stop_bound_ms: Milliseconds = 30_000.0
    batch_tick_ms: Milliseconds = 5.0
    ticket_valid_ms: Milliseconds = 60_000.0
