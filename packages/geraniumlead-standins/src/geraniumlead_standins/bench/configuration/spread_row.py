"""Define one measured case."""

from msgspec import Struct


class SpreadRow(Struct, kw_only=True, forbid_unknown_fields=True):
    """Say when published changes were in force on the last instance.

    ``late`` counts changes that were not in force everywhere within the bound.
    """

    driver: str
    case: str
    instances: int
    changes: int
    median_ms: float
    slowest_ms: float
    late: int
    platform_calls_per_s: float
    seeds: tuple[int, ...] = ()
