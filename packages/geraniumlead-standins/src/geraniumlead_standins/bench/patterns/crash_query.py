"""A query that crashes every upstream that runs it is sent a hundred times."""

from dataclasses import replace
from random import Random

from geraniumlead_standins.bench.admission_variants import ApplyVariant, use_default
from geraniumlead_standins.bench.caller_load import CallerLoad
from geraniumlead_standins.bench.caller_stream import CallerStream
from geraniumlead_standins.bench.crash_variants import use_no_canary, use_no_guard
from geraniumlead_standins.bench.load_contracts import (
    CAPACITY_PER_S,
    SIZE,
    build_load_contract,
)
from geraniumlead_standins.bench.result_row import ResultRow

NAME = "crash_query"
LARGE_SIZE = replace(SIZE, instances=3, replicas=4)
OTHERS_PER_S = 0.6 * CAPACITY_PER_S
CRASHING_PER_S = 20.0
CRASHING_FROM_MS = 11_000.0
CRASHING_END_MS = 16_000.0
DISTINCT_QUERIES = 50
END_MS = 18_000.0


def run(seed: int) -> list[ResultRow]:
    """Return the rows without the crashing query, and with it for every variant."""
    return [
        *_measure("no crash, plain", use_no_guard, 0.0, seed),
        *_measure("no crash, module", use_default, 0.0, seed),
        *_measure("plain", use_no_guard, CRASHING_PER_S, seed),
        *_measure("module", use_default, CRASHING_PER_S, seed),
        *_measure("rival no canary", use_no_canary, CRASHING_PER_S, seed),
    ]


def _draw_query(random: Random) -> bytes:
    return b'{"member":%d}' % random.randrange(DISTINCT_QUERIES)


def _measure(
    variant: str, apply_variant: ApplyVariant, crashing_per_s: float, seed: int
) -> list[ResultRow]:
    load = CallerLoad(LARGE_SIZE, seed, [build_load_contract()], apply_variant)
    load.add(CallerStream("lookup", OTHERS_PER_S, end_ms=END_MS, draw_query=_draw_query))
    load.add(
        CallerStream(
            "lookup",
            crashing_per_s,
            start_ms=CRASHING_FROM_MS,
            end_ms=CRASHING_END_MS,
            draw_query=lambda random: b'{"crash":1}',
            label="crashing",
        )
    )
    load.finish()
    crashed = sum(upstream.crashes > 0 for upstream in load.run.upstreams.values())
    return load.rows(NAME, variant, crashed_upstreams=float(crashed))
