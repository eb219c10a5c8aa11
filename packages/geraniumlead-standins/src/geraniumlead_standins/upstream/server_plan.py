"""The plans of the upstream stand-in."""

from msgspec import Struct, field


class ServerPlan(Struct, kw_only=True, forbid_unknown_fields=True):
    """The address, size, speed and data of one server.

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
    """The servers of one process, its random seed and the address at which faults are set."""

    seed: int
    control: str
    servers: list[ServerPlan]
    history: str | None = None
