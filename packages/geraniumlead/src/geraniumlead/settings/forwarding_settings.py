from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """The settings of the forwarder: what the platform guarantees and requires of an instance.

    ``extra_share`` and ``extra_slack`` limit the requests that all instances together may send
    beyond the first attempts: the share of the requests for a service in a window of
    ``extra_window_ms``, plus the slack. ``regions`` maps each data centre to its region. All
    instances together may send a cold upstream ``cold_factor`` times its own rate plus
    ``cold_slack`` requests per second. ``address`` is the address at which peers reach this
    instance, ``seeds`` are the addresses of some peers.
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
        """Return the region of this instance, or None if it is unknown."""
        return self.regions.get(self.data_centre)
