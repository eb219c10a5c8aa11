"""One and a half, three and ten times the load that the upstreams can serve."""

from geraniumlead_standins.bench.admission_variants import (
    ApplyVariant,
    use_aimd_limit,
    use_default,
    use_plain_admission,
)
from geraniumlead_standins.bench.caller_load import CallerLoad
from geraniumlead_standins.bench.caller_stream import CallerStream
from geraniumlead_standins.bench.load_contracts import (
    CAPACITY_PER_S,
    SIZE,
    build_load_contract,
)
from geraniumlead_standins.bench.result_row import ResultRow

NAME = "overload"
FIRST_CLASS_SHARE = 0.5
FACTORS = (1.5, 3.0, 10.0)
END_MS = 18_000.0


def run(seed: int) -> list[ResultRow]:
    """Return the rows of the first class alone, and of every factor and variant."""
    rows = _measure("unloaded", use_default, FIRST_CLASS_SHARE, seed)
    for factor in FACTORS:
        rows += _measure(f"plain {factor:g}x", use_plain_admission, factor, seed)
        rows += _measure(f"module {factor:g}x", use_default, factor, seed)
        rows += _measure(f"rival aimd {factor:g}x", use_aimd_limit, factor, seed)
    return rows


def _measure(
    variant: str, apply_variant: ApplyVariant, factor: float, seed: int
) -> list[ResultRow]:
    load = CallerLoad(SIZE, seed, [build_load_contract()], apply_variant)
    load.add(CallerStream("lookup", FIRST_CLASS_SHARE * CAPACITY_PER_S, end_ms=END_MS))
    rest_per_s = (factor - FIRST_CLASS_SHARE) * CAPACITY_PER_S / 2.0
    if rest_per_s > 0.0:
        load.add(CallerStream("statement", rest_per_s, end_ms=END_MS, deadline_ms=500.0))
        load.add(CallerStream("audit", rest_per_s, end_ms=END_MS, deadline_ms=5_000.0))
    load.finish()
    goodput = sum(len(found.latencies_ms) for found in load.results.values())
    share = goodput / load.measured_s / CAPACITY_PER_S
    return load.rows(NAME, variant, all_goodput_share=round(share, 4))
