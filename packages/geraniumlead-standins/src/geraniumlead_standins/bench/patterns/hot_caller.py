"""One customer sends twenty times its contract, through all instances."""

from geraniumlead_standins.bench.admission_variants import (
    ApplyVariant,
    use_default,
    use_plain_admission,
    use_whole_contract_everywhere,
)
from geraniumlead_standins.bench.caller_load import CallerLoad
from geraniumlead_standins.bench.caller_stream import CallerStream
from geraniumlead_standins.bench.load_contracts import (
    CAPACITY_PER_S,
    SIZE,
    build_load_contract,
)
from geraniumlead_standins.bench.result_row import ResultRow

NAME = "hot_caller"
CONTRACT_SHARE = 0.1
CONTRACT_RATE_FACTOR = 20.0
"""Rate of the hot caller, as a multiple of the rate in its contract."""

END_MS = 18_000.0


def run(seed: int) -> list[ResultRow]:
    """Return the rows with the hot caller within its contract, and beyond it for every variant."""
    return [
        *_measure("within contract", use_default, 1.0, seed),
        *_measure("plain", use_plain_admission, CONTRACT_RATE_FACTOR, seed),
        *_measure("module", use_default, CONTRACT_RATE_FACTOR, seed),
        *_measure("rival no shares", use_whole_contract_everywhere, CONTRACT_RATE_FACTOR, seed),
    ]


def _measure(
    variant: str, apply_variant: ApplyVariant, rate_factor: float, seed: int
) -> list[ResultRow]:
    rate_per_s = CONTRACT_SHARE * CAPACITY_PER_S
    hot = build_load_contract("hot", rate_per_s=rate_per_s, burst_requests=20)
    load = CallerLoad(SIZE, seed, [build_load_contract(), hot], apply_variant)
    load.add(CallerStream("lookup", 0.3 * CAPACITY_PER_S, end_ms=END_MS, label="others"))
    load.add(
        CallerStream("lookup", rate_factor * rate_per_s, customer="hot", end_ms=END_MS, label="hot")
    )
    load.finish()
    return load.rows(NAME, variant)
