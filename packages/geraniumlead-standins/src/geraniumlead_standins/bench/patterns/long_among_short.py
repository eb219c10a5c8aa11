"""Jobs fifty times as long as the other requests, at the same upstreams."""

from dataclasses import replace

from msgspec.structs import replace as replace_fields

from geraniumlead_standins.bench.admission_variants import (
    ApplyVariant,
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

NAME = "long_among_short"
LONG_PER_S = 24.0
LARGE_SIZE = replace(SIZE, slots=6)
"""Six slots, as the portal and the reporting service have. With two slots, each of the two owners
would have one, and a long job on it would block all short requests of that owner."""

END_MS = 22_000.0


def run(seed: int) -> list[ResultRow]:
    """Return the rows without long jobs, and with them for every variant."""
    return [
        *_measure("no long jobs", use_default, 0.0, seed),
        *_measure("plain", use_plain_admission, LONG_PER_S, seed),
        *_measure("module", use_default, LONG_PER_S, seed),
        *_measure("rival not kept apart", use_default, LONG_PER_S, seed, mark_long_running=False),
    ]


def _measure(
    variant: str,
    apply_variant: ApplyVariant,
    long_per_s: float,
    seed: int,
    mark_long_running: bool = True,
) -> list[ResultRow]:
    contract = build_load_contract()
    if not mark_long_running:
        classes = [replace_fields(found, long_running=False) for found in contract.classes]
        contract = replace_fields(contract, classes=classes)
    load = CallerLoad(LARGE_SIZE, seed, [contract], apply_variant)
    load.add(CallerStream("statement", 0.75 * CAPACITY_PER_S, end_ms=END_MS, deadline_ms=500.0))
    load.add(
        CallerStream(
            "archive",
            long_per_s,
            end_ms=END_MS,
            deadline_ms=10_000.0,
            draw_query=lambda random: b'{"kind":"long job"}',
        )
    )
    load.finish(settle_ms=11_000.0)
    return load.rows(NAME, variant)
