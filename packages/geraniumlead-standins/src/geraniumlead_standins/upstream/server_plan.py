"""Define what one upstream server does."""

from msgspec import Struct, field


class ServerPlan(Struct, kw_only=True, forbid_unknown_fields=True):
    """Set one server's address, size, speed and data.

    ``holds`` maps an index version, as text, to the shards that the server holds of it.
    """

    upstream_id: str
    address: str
    service: str
    slots: int
    connections: int
    cold_allowance: int = 1
    median_ms: float = 4.0
    sigma: float = 0.4
    cold_answers: int = 0
    holds: dict[str, list[int]] = field(default_factory=dict)


class ProcessPlan(Struct, kw_only=True, forbid_unknown_fields=True):
    """List the servers of one process, the seed of its randomness and where faults are set."""

    seed: int
    control: str
    servers: list[ServerPlan]
    history: str | None = None
