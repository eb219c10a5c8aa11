"""One key is requested at three times the rate that its shard can serve."""

from geraniumlead_standins.bench.admission_variants import (
    Prepare,
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
TIMES_SHARD = 3.0
END_MS = 18_000.0


def run(seed: int) -> list[ResultRow]:
    """Return the rows without the hot key, and with it for every variant."""
    return [
        *_measure("no hot key", use_default, 0.0, seed),
        *_measure("plain", use_plain_admission, TIMES_SHARD, seed),
        *_measure("module", use_default, TIMES_SHARD, seed),
        *_measure("rival no bound", use_no_hot_key_limit, TIMES_SHARD, seed),
    ]


def _measure(variant: str, prepare: Prepare, times: float, seed: int) -> list[ResultRow]:
    load = CallerLoad(SIZE, seed, [build_load_contract()], prepare)
    load.add(CallerStream("lookup", 0.3 * CAPACITY_PER_S, end_ms=END_MS))
    load.add(
        CallerStream(
            "statement",
            times * CAPACITY_PER_S,
            end_ms=END_MS,
            deadline_ms=500.0,
            draw_key=lambda random: "member-1",
            label="hot key",
        )
    )
    load.finish()
    return load.rows(NAME, variant)
