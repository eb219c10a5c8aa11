from msgspec import Struct, field


class ResultRow(Struct, kw_only=True, forbid_unknown_fields=True):
    """What the callers of one class received under one variant of a load pattern.

    ``variant`` names what was run: the module under test, a baseline without it or an alternative
    policy (these begin with "rival"). Latencies are those of answered requests, and ``coverage``
    is the mean of these. ``extra_load_share`` is the number of subqueries beyond the first of each
    shard, divided by the number of the first ones. ``fallen`` counts how often upstreams fell
    over; CallerLoad adds crashes to it. ``more`` holds figures that only this pattern has; their
    names end in the unit.
    """

    pattern: str
    variant: str
    class_name: str = field(name="class")
    p50_ms: float | None
    p99_ms: float | None
    p999_ms: float | None
    coverage: float | None
    goodput_per_s: float
    refused: int
    extra_load_share: float = 0.0
    fallen: int = 0
    refused_by_reason: dict[str, int] = {}
    more: dict[str, float] = {}
    seed: int = 1
