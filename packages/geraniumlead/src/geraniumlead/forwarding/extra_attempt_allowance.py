from math import floor

from geraniumlead.hashing import hash_text
from geraniumlead.settings.forwarding_settings import ForwardingSettings

SETTLED_SHARE_PART = 0.9
"""Part of the allowed share that is used. The windows of the instances do not start at the same
time, and a request counts when it arrives at the upstream, some milliseconds after it was sent."""

STARTING_SHARE_PART = 0.08
"""Part of the allowed share that is used by a process that replaces another within the window."""

SETTLED_SLACK_PART = 0.8
"""Part of the fixed slack that is divided among the instances. While instances start or stop, their
counts of the live instances may differ by one or two."""

STARTING_SLACK_PART = 0.15
"""Part of the fixed slack that is divided among processes that replace others within the window."""

HASH_STEPS = 1 << 20


class ExtraAttemptAllowance:
    """The part of a service's bound of extra attempts that this process may use.

    Load pattern: upstreams are slow while instances restart, one by one or all at once. The bound
    is over a window and all instances, and a process does not know what its predecessor has spent
    in that window. If it had the whole part of its instance again, each restart would add one more
    part, and the fleet would exceed the bound.

    So a process leaves a small part unused, and has only this part until it has run for a window.
    The starting slack grows with the time that it has run, and the starting share with its own
    requests: all processes that an instance has had within one window use no more of it than one
    that ran throughout. A process whose count of the instances may be too low has no slack.

    The starting part of one instance is often less than one attempt. Instances round it up or down
    by a hash of the service, so that some of them have one and the sum stays the same.
    """

    __slots__ = ("_instances", "_is_count_known", "_rounding", "_settings", "_started_ms")

    def __init__(self, settings: ForwardingSettings, started_ms: float) -> None:
        self._settings = settings
        self._started_ms = started_ms
        self._instances = 1
        self._rounding: dict[str, float] = {}
        self._is_count_known = False

    @property
    def window_ms(self) -> float:
        """Return the window that the bound refers to."""
        return self._settings.extra_window_ms

    @property
    def instances(self) -> int:
        """Return the number of instances that divide the slack."""
        return self._instances

    def set_instances(self, count: int, is_count_known: bool) -> None:
        """Set the number of instances, and whether it can be relied on."""
        self._instances = max(1, count)
        self._is_count_known = is_count_known

    def apply_settings(self, settings: ForwardingSettings, now_ms: float) -> None:
        """Apply changed settings. A longer window is as unknown as that before a start."""
        if settings.extra_window_ms > self._settings.extra_window_ms:
            self._started_ms = now_ms
        self._settings = settings

    def limit(self, service: str, first: int, now_ms: float) -> float:
        """Return how many extra attempts are allowed beside ``first`` first ones in the window."""
        settings = self._settings
        slack = settings.extra_slack / self._instances if self._is_count_known else 0.0
        if self.is_settled(now_ms):
            share = settings.extra_share * SETTLED_SHARE_PART
            return share * first + SETTLED_SLACK_PART * slack
        share = settings.extra_share * STARTING_SHARE_PART
        run_part = max(0.0, now_ms - self._started_ms) / self.window_ms
        limit = share * first + STARTING_SLACK_PART * slack * run_part
        return floor(limit + self._rounding_of(service))

    def _rounding_of(self, service: str) -> float:
        """Return the fraction, 0 to 1, from which on this instance rounds up at a service."""
        rounding = self._rounding.get(service)
        if rounding is None:
            name = f"{self._settings.instance_id} {service}"
            rounding = self._rounding[service] = hash_text(name) % HASH_STEPS / HASH_STEPS
        return rounding

    def is_settled(self, now_ms: float) -> bool:
        """Return whether nothing that a predecessor has sent is left in the window."""
        return now_ms - self._started_ms >= self.window_ms
