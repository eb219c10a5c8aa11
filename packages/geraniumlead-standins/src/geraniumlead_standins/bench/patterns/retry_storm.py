"""Refused callers retry, at once or after the time that the refusal names."""

from geraniumlead.admission import retry_after
from geraniumlead_standins.bench.admission_variants import (
    ApplyVariant,
    use_default,
    use_plain_admission,
)
from geraniumlead_standins.bench.caller_load import CallerLoad
from geraniumlead_standins.bench.caller_stream import CallerStream, RetryPolicy
from geraniumlead_standins.bench.load_contracts import (
    CAPACITY_PER_S,
    SIZE,
    build_load_contract,
)
from geraniumlead_standins.bench.result_row import ResultRow

NAME = "retry_storm"
END_MS = 18_000.0
SURGE_AT_MS = 10_000.0
SURGE_END_MS = 12_000.0


def run(seed: int) -> list[ResultRow]:
    """Return the rows of a surge of two seconds, for callers of both kinds and every variant."""
    rows = []
    for policy in (RetryPolicy.RETRY_AT_ONCE, RetryPolicy.HONOUR_RETRY_AFTER):
        rows += _measure(f"plain, {policy}", use_plain_admission, policy, seed)
        rows += _measure(f"module, {policy}", use_default, policy, seed)
    spread = retry_after.SPREAD_FACTOR
    try:
        retry_after.SPREAD_FACTOR = 0.0
        policy = RetryPolicy.HONOUR_RETRY_AFTER
        rows += _measure(f"rival not spread, {policy}", use_default, policy, seed)
    finally:
        retry_after.SPREAD_FACTOR = spread
    return rows


def _measure(
    variant: str, apply_variant: ApplyVariant, policy: RetryPolicy, seed: int
) -> list[ResultRow]:
    load = CallerLoad(SIZE, seed, [build_load_contract()], apply_variant)
    load.add(CallerStream("lookup", 0.3 * CAPACITY_PER_S, end_ms=END_MS, retry_policy=policy))
    load.add(
        CallerStream(
            "statement",
            2.0 * CAPACITY_PER_S,
            start_ms=SURGE_AT_MS,
            end_ms=SURGE_END_MS,
            deadline_ms=500.0,
            retry_policy=policy,
            retry_until_ms=END_MS,
        )
    )
    load.finish()
    return load.rows(NAME, variant)
