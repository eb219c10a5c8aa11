"""Define the figures that the forwarder is bound by."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """Hold what the platform promises and demands of one instance.

    ``extra_share`` and ``extra_slack`` bound the requests that all instances together may
    send beyond the first of each: the share of the requests for a service in a window of
    ``extra_window_ms``, plus the slack. ``regions`` maps each data centre to its region.
    A cold upstream takes ``cold_factor`` times its own rate and ``cold_slack`` requests a
    second from all of them. ``address`` is where peers reach this instance, ``seeds`` are
    some of theirs.
    """

    instance_id: str
    data_centre: str
    address: str = ""
    seeds: tuple[str, ...] = ()
    regions: dict[str, str] = field(default_factory=dict)
    extra_share: float = 0.1
    extra_slack: float = 0.0
    extra_window_ms: float = 10_000.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0

    @property
    def region(self) -> str | None:
        """Return the region of this instance."""
        return self.regions.get(self.data_centre)
