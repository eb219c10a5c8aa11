"""Define one measured row of a load pattern."""

from msgspec import Struct, field


class ResultRow(Struct, kw_only=True, forbid_unknown_fields=True):
    """Say what the callers of one class received under one variant of a pattern.

    ``variant`` tells the module from its absence and from the rival policy. Latencies are of
    answered requests, ``coverage`` is their mean. ``extra_load_share`` is the subqueries beyond
    the first of each shard over the first ones. ``fallen`` counts upstreams that fell over.
    ``more`` holds figures that only this pattern has, by their name with its unit.
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
