from msgspec import Struct


class PropagationRow(Struct, kw_only=True, forbid_unknown_fields=True):
    """How long published changes took to be in force on the last instance, for one case.

    ``late`` counts changes that were not in force on all instances within the bound of 6 s.
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
