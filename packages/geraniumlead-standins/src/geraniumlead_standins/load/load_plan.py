"""Define what callers send."""

from msgspec import Struct


class ClassLoad(Struct, kw_only=True, forbid_unknown_fields=True):
    """Send one class of one customer at a steady rate with random gaps.

    ``ticketed`` requests get a ticket first and name one shard by their key.
    ``repeat_share`` of them are sent again through another instance while they run.
    ``distinct_queries`` is the number of different texts of the others, 0 for a new one each
    time: instances treat a query that they have seen before differently.
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
    """List the entry instances, the classes, the time and the seed of all randomness."""

    seed: int
    addresses: list[str]
    duration_s: float
    classes: list[ClassLoad]
    history: str | None = None
