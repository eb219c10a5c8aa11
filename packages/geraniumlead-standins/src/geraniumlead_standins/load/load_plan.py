"""The load that callers send."""

from msgspec import Struct


class ClassLoad(Struct, kw_only=True, forbid_unknown_fields=True):
    """The load of one class of one customer: a steady mean rate with random intervals.

    ``ticketed`` requests fetch a ticket first and select one shard by their key.
    ``repeat_share`` of them are also sent through another instance while they run.
    ``distinct_queries`` is the number of different texts of all other requests, or 0 for a new
    text each time: instances handle a query that they have seen before differently.
    """

    customer: str
    credential: str
    class_name: str
    rate_per_s: float
    deadline_ms: int
    ticketed: bool = False
    repeat_share: float = 0.0
    distinct_queries: int = 0


class LoadPlan(Struct, kw_only=True, forbid_unknown_fields=True):
    """The entry instances, the classes, the duration and the seed of all random numbers."""

    seed: int
    addresses: list[str]
    duration_s: float
    classes: list[ClassLoad]
    history: str | None = None
