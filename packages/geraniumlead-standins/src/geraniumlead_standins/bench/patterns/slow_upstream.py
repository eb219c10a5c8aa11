"""One replica in 20 takes ten times as long."""

from contextlib import ExitStack

from geraniumlead_standins.bench.load_run import SETTLED_MS, LoadRun
from geraniumlead_standins.bench.policies import (
    with_fixed_hedge_delay,
    with_random_replicas,
    without_hedges,
)
from geraniumlead_standins.bench.result_row import ResultRow
from geraniumlead_standins.virtual.small_cluster import ClusterSize, SmallCluster

NAME = "slow upstream"
SEEDS = (1, 2)

SIZE = ClusterSize(instances=3, shards=20, replicas=2)
RATE_PER_S = 200.0
SLOWDOWN = 10.0
SLOW_EVERY = 21
"""Makes two of forty upstreams slow, of different shards: upstream n holds shard n modulo 20."""
SLOW_MS = SETTLED_MS + 3_000.0
RECOVERED_MS = SLOW_MS + 6_000.0
END_MS = RECOVERED_MS + 3_000.0
TRANSITION_MS = 1_000.0

VARIANTS = {
    "without": (without_hedges, with_random_replicas),
    "with": (),
    "rival: random replica, hedge after 12 ms": (
        lambda: with_fixed_hedge_delay(12.0),
        with_random_replicas,
    ),
}


def run(seed: int) -> list[ResultRow]:
    """Return rows for before, the first second, the rest and after the slowdown."""
    rows = []
    for variant, policies in VARIANTS.items():
        with ExitStack() as stack:
            for policy in policies:
                stack.enter_context(policy())
            load = _run_load(seed)
        steady_ms = SLOW_MS + TRANSITION_MS
        before = load.summarise(NAME, f"{variant}: none slow", SETTLED_MS + TRANSITION_MS, SLOW_MS)
        slow = load.summarise(NAME, f"{variant}: slow", steady_ms, RECOVERED_MS)
        slow.more["p99_ratio"] = (slow.p99_ms or 0.0) / (before.p99_ms or 1.0)
        transition = load.summarise(NAME, f"{variant}: first second", SLOW_MS, steady_ms)
        after = load.summarise(NAME, f"{variant}: well again", RECOVERED_MS + TRANSITION_MS, END_MS)
        rows += [before, transition, slow, after]
    return rows


def _run_load(seed: int) -> LoadRun:
    load = LoadRun(SmallCluster.from_size(SIZE, seed), RATE_PER_S)
    load.send_until(SLOW_MS)
    slow = load.upstreams()[::SLOW_EVERY]
    for upstream in slow:
        upstream.slowdown = SLOWDOWN
    load.send_until(RECOVERED_MS)
    for upstream in slow:
        upstream.slowdown = 1.0
    load.send_until(END_MS)
    load.finish()
    return load
