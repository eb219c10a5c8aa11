from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """The last entry that an upstream published about itself.

    ``is_ready`` is False for one that drains. ``cold_left_ms`` is the time for which it is
    still slow after its start. ``started_ms`` (Unix time) tells two processes with the same id
    apart; None when the entry has no start time.
    """

    upstream_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_ready: bool
    cold_left_ms: float = 0.0
    started_ms: int | None = None

    def is_same_start(self, other: "UpstreamRecord") -> bool:
        """Return whether both records are of the same process of an upstream."""
        return (self.address, self.service, self.started_ms) == (
            other.address,
            other.service,
            other.started_ms,
        )
