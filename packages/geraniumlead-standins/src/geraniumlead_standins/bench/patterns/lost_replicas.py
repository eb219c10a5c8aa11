"""Half of all replicas are lost; they neither answer nor refuse."""

from contextlib import ExitStack

from geraniumlead_standins.bench.load_run import SETTLED_MS, LoadRun
from geraniumlead_standins.bench.policies import (
    with_fixed_hedge_delay,
    with_random_replicas,
    without_hedges,
)
from geraniumlead_standins.bench.result_row import ResultRow
from geraniumlead_standins.virtual.small_cluster import ClusterSize, SmallCluster

NAME = "half of all replicas lost"
SEEDS = (1, 2)

SIZE = ClusterSize(instances=3, shards=20, replicas=2)
RATE_PER_S = 100.0
LOST_MS = SETTLED_MS + 2_000.0
TRANSITION_MS = 1_000.0
BACK_MS = LOST_MS + 5_000.0
END_MS = BACK_MS + 3_000.0

VARIANTS = {
    "without": (without_hedges, with_random_replicas),
    "with": (),
    "rival: random replica, hedge after 12 ms": (
        lambda: with_fixed_hedge_delay(12.0),
        with_random_replicas,
    ),
}


def run(seed: int) -> list[ResultRow]:
    """Return rows for before the loss, its first second, the time after that, and the return."""
    rows = []
    for variant, policies in VARIANTS.items():
        with ExitStack() as stack:
            for policy in policies:
                stack.enter_context(policy())
            load = _run_load(seed)
        steady_ms = LOST_MS + TRANSITION_MS
        before = load.summarise(NAME, f"{variant}: before", SETTLED_MS, LOST_MS)
        first = load.summarise(NAME, f"{variant}: first second", LOST_MS, steady_ms)
        lost = load.summarise(NAME, f"{variant}: lost", steady_ms, BACK_MS)
        back = load.summarise(NAME, f"{variant}: back", BACK_MS, END_MS)
        for row in (first, lost, back):
            row.more["p99_ratio"] = (row.p99_ms or 0.0) / (before.p99_ms or 1.0)
        rows += [before, first, lost, back]
    return rows


def _run_load(seed: int) -> LoadRun:
    load = LoadRun(SmallCluster.from_size(SIZE, seed), RATE_PER_S, least_coverage=0.0)
    load.send_until(LOST_MS)
    # The second half of the list holds the second replica of every shard.
    lost = load.upstreams()[SIZE.shards :]
    for upstream in lost:
        upstream.is_silent = True
    load.send_until(BACK_MS)
    for upstream in lost:
        upstream.is_silent = False
    load.send_until(END_MS)
    load.finish()
    return load
