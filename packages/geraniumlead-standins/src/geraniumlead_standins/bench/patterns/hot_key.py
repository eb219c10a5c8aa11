"""One key is requested at three times the rate that its shard can serve."""

from geraniumlead_standins.bench.admission_variants import (
    ApplyVariant,
    use_default,
    use_no_hot_key_limit,
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

NAME = "hot_key"
SHARD_RATE_FACTOR = 3.0
"""Rate of requests for the hot key, as a multiple of what its shard can serve."""

END_MS = 18_000.0


def run(seed: int) -> list[ResultRow]:
    """Return the rows without the hot key, and with it for every variant."""
    return [
        *_measure("no hot key", use_default, 0.0, seed),
        *_measure("plain", use_plain_admission, SHARD_RATE_FACTOR, seed),
        *_measure("module", use_default, SHARD_RATE_FACTOR, seed),
        *_measure("rival no bound", use_no_hot_key_limit, SHARD_RATE_FACTOR, seed),
    ]


def _measure(
    variant: str, apply_variant: ApplyVariant, rate_factor: float, seed: int
) -> list[ResultRow]:
    load = CallerLoad(SIZE, seed, [build_load_contract()], apply_variant)
    load.add(CallerStream("lookup", 0.3 * CAPACITY_PER_S, end_ms=END_MS))
    load.add(
        CallerStream(
            "statement",
            rate_factor * CAPACITY_PER_S,
            end_ms=END_MS,
            deadline_ms=500.0,
            draw_key=lambda random: "member-1",
            label="hot key",
        )
    )
    load.finish()
    return load.rows(NAME, variant)
