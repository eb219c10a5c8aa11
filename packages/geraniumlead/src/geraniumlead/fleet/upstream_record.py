"""Define what an upstream publishes of itself."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Describe one upstream as it last published itself.

    ``is_ready`` is False for one that drains. ``cold_left_ms`` is the time for which it is
    still slow after its start. ``started_ms`` (Unix time) tells two lives under one id
    apart; None when it does not say.
    """

    upstream_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_ready: bool
    cold_left_ms: float = 0.0
    started_ms: int | None = None

    def is_same_life(self, other: "UpstreamRecord") -> bool:
        """Return whether both are of one start of one upstream."""
        return (self.address, self.service, self.started_ms) == (
            other.address,
            other.service,
            other.started_ms,
        )
