"""Bursts of a thousand requests within a tenth of a second, on a steady load."""

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

NAME = "burst"
BURST_MS = 100.0
BURST_REQUESTS = 1_000.0
BURSTS_AT_MS = (11_000.0, 13_000.0, 15_000.0)
END_MS = 18_000.0


def run(seed: int) -> list[ResultRow]:
    """Return the rows without bursts, and with bursts for every variant."""
    return [
        *_measure("no burst", use_default, (), seed),
        *_measure("plain", use_plain_admission, BURSTS_AT_MS, seed),
        *_measure("module", use_default, BURSTS_AT_MS, seed),
        *_measure("rival aimd", use_aimd_limit, BURSTS_AT_MS, seed),
    ]


def _measure(
    variant: str, apply_variant: ApplyVariant, bursts_at_ms: tuple[float, ...], seed: int
) -> list[ResultRow]:
    load = CallerLoad(SIZE, seed, [build_load_contract()], apply_variant)
    load.add(CallerStream("lookup", 0.4 * CAPACITY_PER_S, end_ms=END_MS))
    for at_ms in bursts_at_ms:
        load.add(
            CallerStream(
                "statement",
                BURST_REQUESTS * 1_000.0 / BURST_MS,
                start_ms=at_ms,
                end_ms=at_ms + BURST_MS,
                deadline_ms=500.0,
            )
        )
    load.finish()
    return load.rows(NAME, variant)
